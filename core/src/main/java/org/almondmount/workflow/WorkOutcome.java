package org.almondmount.workflow;

/**
 * What became of the work of a run: it was kept, or lost for a reason. Work is measured
 * in core-seconds, an accelerator counting for several cores.
 */
public enum WorkOutcome {

	/** It is done, or saved in a checkpoint from which the task goes on. */
	KEPT,

	/** The job's caller cancelled it. */
	CANCELLED,

	/** Another task of the job failed for good. */
	JOB_FAILED,

	/** Its worker left at notice. */
	WORKER_LEFT,

	/** Its worker, or the process beside it, is gone without notice. */
	WORKER_LOST,

	/** It made room for more urgent work. */
	GAVE_WAY,

	/** It held its room and waited for other members of its gang. */
	GANG_WAITED,

	/** Another member of its gang ended, and nothing more is known. */
	GANG_BROKEN,

	/** The lease beside its worker ran out. */
	LEASE_LAPSED,

	/** The task failed. */
	FAILED_TRY,

	/** It made no progress and was stopped. */
	STOOD_STILL,

	/** An earlier term ordered it, and its worker did not run it. */
	UNSETTLED

}
