package org.almondmount.workflow;

/**
 * What became of the work of a run: it was kept, or lost for a reason. Work is measured
 * in core-seconds, an accelerator counting for several cores.
 */
public enum WorkOutcome {

	/** It is done, or saved in a checkpoint from which the task goes on. */
	KEPT(false),

	/** The job's caller cancelled it. */
	CANCELLED(true),

	/** Another task of the job failed for good. */
	JOB_FAILED(true),

	/** Its worker left at notice. */
	WORKER_LEFT(true),

	/** Its worker, or the process beside it, is gone without notice. */
	WORKER_LOST(true),

	/** It made room for more urgent work. */
	GAVE_WAY(true),

	/** It held its room and waited for other members of its gang. */
	GANG_WAITED(true),

	/** Another member of its gang ended, and nothing more is known. */
	GANG_BROKEN(true),

	/** The lease beside its worker ran out. */
	LEASE_LAPSED(true),

	/** The task failed. */
	FAILED_TRY(true),

	/** It made no progress and was stopped. */
	STOOD_STILL(true),

	/** An earlier term ordered it, and its worker did not run it. */
	UNSETTLED(true);

	private final boolean lost;

	WorkOutcome(boolean lost) {
		this.lost = lost;
	}

	public boolean lost() {
		return this.lost;
	}

}
