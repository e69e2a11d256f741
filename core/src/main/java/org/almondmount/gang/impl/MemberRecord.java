package org.almondmount.gang.impl;

import java.util.Optional;

import org.almondmount.gang.HeldMember;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobSpec;

/**
 * One member on this worker. Not thread-safe.
 */
final class MemberRecord {

	private final Attempt attempt;

	private final int member;

	private final Optional<JobSpec> spec;

	private final boolean fromCheckpoint;

	private Phase phase;

	private JobOutcome outcome;

	private long deadline;

	private long nextRenewalAt;

	private long nextReportAt;

	private long phaseStartedAt;

	private int endReportCount;

	MemberRecord(Attempt attempt, int member, Optional<JobSpec> spec, boolean fromCheckpoint) {
		this.attempt = attempt;
		this.member = member;
		this.spec = spec;
		this.fromCheckpoint = fromCheckpoint;
	}

	Attempt attempt() {
		return this.attempt;
	}

	int member() {
		return this.member;
	}

	/**
	 * Returns the job; empty for a task that was found running and was not started by
	 * this process.
	 * @return the job
	 */
	Optional<JobSpec> spec() {
		return this.spec;
	}

	boolean fromCheckpoint() {
		return this.fromCheckpoint;
	}

	Phase phase() {
		return this.phase;
	}

	/**
	 * Enters a phase.
	 * @param now the time
	 * @param newPhase the phase
	 * @param newDeadline when the phase has to end
	 */
	void enterPhase(long now, Phase newPhase, long newDeadline) {
		this.phase = newPhase;
		this.phaseStartedAt = now;
		this.deadline = newDeadline;
		this.nextReportAt = now;
	}

	long phaseStartedAt() {
		return this.phaseStartedAt;
	}

	long deadline() {
		return this.deadline;
	}

	void extendDeadline(long newDeadline) {
		this.deadline = Math.max(this.deadline, newDeadline);
	}

	long nextRenewalAt() {
		return this.nextRenewalAt;
	}

	void scheduleRenewal(long at) {
		this.nextRenewalAt = at;
	}

	long nextReportAt() {
		return this.nextReportAt;
	}

	void scheduleReport(long at) {
		this.nextReportAt = at;
	}

	JobOutcome outcome() {
		return this.outcome;
	}

	void recordEnd(long now, JobOutcome newOutcome) {
		this.outcome = newOutcome;
		enterPhase(now, Phase.ENDED, Long.MAX_VALUE);
	}

	int endReportCount() {
		return this.endReportCount;
	}

	void countEndReport() {
		this.endReportCount++;
	}

	boolean usesCapacity() {
		return this.phase != Phase.ENDED;
	}

	boolean canCheckpoint() {
		return this.spec.isEmpty() || this.spec.get().savesCheckpoints();
	}

	Optional<HeldMember> toHeldMember() {
		if (this.spec.isEmpty()) {
			return Optional.empty();
		}
		boolean running = this.phase == Phase.RUNNING
				|| (this.phase == Phase.ENDED && this.outcome == JobOutcome.SUCCEEDED);
		if (!running && this.phase != Phase.HELD && this.phase != Phase.STARTING) {
			return Optional.empty();
		}
		return Optional.of(new HeldMember(this.attempt, this.member, this.spec.get().shape().members(), running));
	}

	/**
	 * The phase of a member.
	 */
	enum Phase {

		/** Capacity is held; the hold expires at the deadline. */
		HELD,

		/**
		 * The worker was ordered to start the task; the deadline is the end of the gang
		 * lease.
		 */
		STARTING,

		/**
		 * The worker reports that the task runs; the deadline is the end of the gang
		 * lease.
		 */
		RUNNING,

		/**
		 * The worker was ordered to suspend the task, which is stopped at the deadline.
		 */
		SUSPENDING,

		/**
		 * The worker was ordered to stop the task and its lease is no longer renewed; at
		 * the deadline the lease has certainly expired.
		 */
		STOPPING,

		/** The task ended; reported until an entry has recorded the end. */
		ENDED

	}

}
