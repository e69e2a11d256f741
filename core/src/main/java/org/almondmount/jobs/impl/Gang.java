package org.almondmount.jobs.impl;

import org.almondmount.jobs.Attempt;

/**
 * One attempt at running a job: its members and how far they are. Mutable, not
 * thread-safe.
 */
final class Gang {

	/**
	 * How far an attempt is.
	 */
	enum Stage {

		/** Waits for borrowers to leave the room that it was promised. */
		AWAITING_EVICTION,

		/** The placement is being written. */
		COMMITTING,

		/** Members are being held. */
		PREPARING,

		/** Members were told to start. */
		STARTING,

		/** All members run. */
		RUNNING,

		/** Members were told to checkpoint or stop; the job is decided when they have. */
		STOPPING,

		/** Given up; only its room is still booked where an answer is outstanding. */
		ABANDONED

	}

	final JobState job;

	final Attempt attempt;

	final Member[] members;

	Stage stage;

	/** Whether nobody else may preempt it. */
	boolean preemptionProtected;

	/** The spot of its owner's guarantee that it runs in, null outside. */
	GuaranteeReservation guaranteeReservation;

	int preparedCount;

	int startedCount;

	int endedCount;

	int allocatedCount;

	long stageSince;

	/** When all members were known to run, 0 before. */
	long runningSince;

	/** When all members had last checkpointed, 0 if never in this attempt. */
	long lastCheckpointAt;

	/** Why it is being stopped. */
	String stopReason = "";

	Gang(JobState job, int number, int members) {
		this.job = job;
		this.attempt = new Attempt(job.id, number);
		this.members = new Member[members];
	}

	/**
	 * Whether its tasks were told to start and not yet to end.
	 * @return true if so
	 */
	boolean isActive() {
		return this.stage == Stage.STARTING || this.stage == Stage.RUNNING;
	}

	/**
	 * Whether a member may have run: told to start, and not known to have refused.
	 * @return true if it may
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
