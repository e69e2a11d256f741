package org.almondmount.bench.workload;

import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;

/**
 * A job of a workload with what only the replay knows about it. Immutable.
 *
 * @param id its identifier
 * @param submitAt when it is submitted, in virtual milliseconds
 * @param spec what its customer declares
 * @param trueRunMillis how long the whole gang has to run, without interruptions
 * @param ending {@link JobOutcome#SUCCEEDED}, or {@link JobOutcome#FAILED} for a job
 * whose program fails wherever it runs
 * @param possible whether an empty fleet could run it
 * @param cancelAt when its customer cancels it, or {@link #NEVER}
 */
public record PlannedJob(JobId id, long submitAt, JobSpec spec, long trueRunMillis, JobOutcome ending, boolean possible,
		long cancelAt) {

	/** A time that no replay reaches. */
	public static final long NEVER = Long.MAX_VALUE;

	/**
	 * Accelerators of the whole gang.
	 * @return a count
	 */
	public int accelerators() {
		return this.spec.shape().total().accelerators();
	}

	/**
	 * Whether the job runs to its end when it is given room, so that it counts as demand.
	 * @return true for a job that is possible, succeeds and is not cancelled
	 */
	public boolean completes() {
		return this.possible && this.ending == JobOutcome.SUCCEEDED && this.cancelAt == NEVER;
	}

	/**
	 * Whether it can be taken off a worker on behalf of somebody else.
	 * @return true if it checkpoints or may be repeated
	 */
	public boolean preemptible() {
		return this.spec.repeatable() || this.spec.savesCheckpoints();
	}

	/**
	 * The same job, cancelled at the given time.
	 * @param time virtual milliseconds
	 * @return the changed job
	 */
	public PlannedJob withCancelAt(long time) {
		return new PlannedJob(this.id, this.submitAt, this.spec, this.trueRunMillis, this.ending, this.possible, time);
	}

}
