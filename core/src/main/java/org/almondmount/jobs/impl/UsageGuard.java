package org.almondmount.jobs.impl;

import org.almondmount.jobs.JobCommand;
import org.almondmount.model.Resources;

/**
 * Handles members that use far more resources than declared: throttles them first, and
 * moves the gang if a member still exceeds its declared memory, which can't be throttled.
 * Not thread-safe.
 */
final class UsageGuard {

	private static final double OVERUSE_FACTOR = 1.2;

	/** Usage reports lag, so a report after the throttle command may predate it. */
	private static final long THROTTLE_REPORT_DELAY_MILLIS = 15_000;

	private final SchedulerContext context;

	private final GangRunner gangRunner;

	UsageGuard(SchedulerContext context, GangRunner gangRunner) {
		this.context = context;
		this.gangRunner = gangRunner;
	}

	/**
	 * Handles a usage report.
	 * @param member the member
	 * @param used the resources that the member used some seconds ago
	 */
	void onUsageReported(Member member, Resources used) {
		Gang gang = member.gang;
		Resources declared = gang.job.spec.shape().perMember();
		boolean memoryExceeded = used.memoryMb() > declared.memoryMb() * OVERUSE_FACTOR;
		boolean coresExceeded = used.cores() > declared.cores() * OVERUSE_FACTOR;
		if (!gang.isActive() || (!memoryExceeded && !coresExceeded)) {
			return;
		}
		if (member.throttledAt == 0) {
			member.throttledAt = Math.max(1, this.context.now);
			this.context.send(new JobCommand.Throttle(gang.attempt, member.index, member.workerId));
			gang.job.addExplanation("Member " + member.index + " uses more resources than declared and is throttled.");
			return;
		}
		boolean throttleDelayOver = this.context.now - member.throttledAt > THROTTLE_REPORT_DELAY_MILLIS;
		if (throttleDelayOver && memoryExceeded && gang.job.isPreemptible()
				&& lacksMemory(member.worker, used.memoryMb() - declared.memoryMb())) {
			this.gangRunner.suspend(gang,
					"member " + member.index + " uses " + used.memoryMb() + " MiB instead of the declared "
							+ declared.memoryMb() + " and other tasks on worker " + member.workerId
							+ " would lack memory",
					this.context.policy.timeouts().checkpoint().toMillis());
		}
	}

	private static boolean lacksMemory(WorkerNode worker, int extraMemoryMb) {
		return worker != null && CapacityView.FREE.memoryMb(worker) < extraMemoryMb;
	}

}
