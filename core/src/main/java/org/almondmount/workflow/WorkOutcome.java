package org.almondmount.workflow;

/**
 * Categories for the accounting of a run's work: it was kept, or lost for a reason. Work
 * is counted in core-seconds; an accelerator counts for several cores.
 */
public enum WorkOutcome {

	/** The work is done, or saved in a checkpoint from which the task resumes. */
	KEPT,

	/** The caller cancelled the job. */
	CANCELLED,

	/** Another task of the job failed permanently. */
	JOB_FAILED,

	/** The worker of the run left after a drain notice. */
	WORKER_LEFT,

	/** The worker, or the target beside it, was lost without notice. */
	WORKER_LOST,

	/** The run was preempted by more urgent work. */
	GAVE_WAY,

	/** The run held its resources while it waited for other members of its gang. */
	GANG_WAITED,

	/** Another member of the gang ended, for an unknown reason. */
	GANG_BROKEN,

	/** The lease of the target beside the worker expired. */
	LEASE_LAPSED,

	/** The run failed. */
	FAILED_TRY,

	/** The run made no progress and was stopped. */
	STOOD_STILL,

	/** An earlier term commanded the run, but the worker did not run it. */
	UNSETTLED

}
