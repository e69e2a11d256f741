package org.almondmount.jobs.impl;

import org.almondmount.jobs.Attempt;

/**
 * An attempt to run a job: its members and their progress. Mutable, not thread-safe.
 */
final class Gang {

	/**
	 * The stage of an attempt.
	 */
	enum Stage {

		/** Waits for borrowers to be evicted from the allocated workers. */
		AWAITING_EVICTION,

		/** The placement is being written to the table. */
		COMMITTING,

		/** Workers are reserving capacity for the members. */
		PREPARING,

		/** Start commands were sent to the members. */
		STARTING,

		/** All members are running. */
		RUNNING,

		/**
		 * Members are being checkpointed or stopped; the outcome follows when all ended.
		 */
		STOPPING,

		/** Abandoned; resources stay allocated only while an answer is outstanding. */
		ABANDONED

	}

	final JobState job;

	final Attempt attempt;

	final Member[] members;

	Stage stage;

	/** Whether the attempt is protected from preemption by other customers. */
	boolean preemptionProtected;

	/** The owner's guarantee reservation in which it runs, null if outside. */
	GuaranteeReservation guaranteeReservation;

	int preparedCount;

	int startedCount;

	int endedCount;

	int allocatedCount;

	long stageSince;

	/** When all members were known to run, 0 before that. */
	long runningSince;

	/** When the last checkpoint of all members completed, 0 if none in this attempt. */
	long lastCheckpointAt;

	/** Why the attempt is being stopped. */
	String stopReason = "";

	Gang(JobState job, int number, int members) {
		this.job = job;
		this.attempt = new Attempt(job.id, number);
		this.members = new Member[members];
	}

	/**
	 * Whether its tasks were commanded to start and not yet to stop.
	 * @return true if the attempt is starting or running
	 */
	boolean isActive() {
		return this.stage == Stage.STARTING || this.stage == Stage.RUNNING;
	}

	/**
	 * Whether a member may have run: its start was sent and its worker did not report
	 * that it never ran.
	 * @return true if a member may have run
	 */
	boolean mayHaveRun() {
		for (Member member : this.members) {
			if (member.startSent && !member.neverRan) {
				return true;
			}
		}
		return false;
	}

}
