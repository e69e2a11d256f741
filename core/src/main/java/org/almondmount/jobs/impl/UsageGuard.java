package org.almondmount.jobs.impl;

import org.almondmount.jobs.JobCommand;
import org.almondmount.model.Resources;

/**
 * Acts on members that use far more than was declared: slows them down first, and moves
 * the gang if one stays over in memory, which can't be slowed down. Not thread-safe.
 */
final class UsageGuard {

	private static final double OVER = 1.2;

	/** Reports lag, so that one after the order to slow down may still be from before. */
	private static final long THROTTLE_MILLIS = 15_000;

	private final Desk desk;

	private final GangRunner runner;

	UsageGuard(Desk desk, GangRunner runner) {
		this.desk = desk;
		this.runner = runner;
	}

	/**
	 * Takes a usage report.
	 * @param member the member
	 * @param used what it used some seconds ago
	 */
	void reported(Member member, Resources used) {
		Gang gang = member.gang;
		Resources declared = gang.job.spec.shape().perMember();
		boolean memory = used.memoryMb() > declared.memoryMb() * OVER;
		boolean cores = used.cores() > declared.cores() * OVER;
		if (!gang.isActive() || (!memory && !cores)) {
			return;
		}
		if (member.throttledAt == 0) {
			member.throttledAt = Math.max(1, this.desk.now);
			this.desk.send(new JobCommand.Throttle(gang.attempt, member.index, member.workerId));
			gang.job.say("Member " + member.index + " uses more than was declared and is slowed down.");
			return;
		}
		boolean late = this.desk.now - member.throttledAt > THROTTLE_MILLIS;
		if (late && memory && gang.job.isPreemptible()
				&& crowded(member.worker, used.memoryMb() - declared.memoryMb())) {
			this.runner.suspend(gang,
					"member " + member.index + " uses " + used.memoryMb() + " MiB instead of " + declared.memoryMb()
							+ " and others on worker " + member.workerId + " would suffer",
					this.desk.policy.timeouts().checkpoint().toMillis());
		}
	}

	private static boolean crowded(WorkerNode worker, int extraMemoryMb) {
		return worker != null && CapacityView.FREE.memoryMb(worker) < extraMemoryMb;
	}

}
