package org.almondmount.jobs;

/**
 * The outcome of a member's task or of a job.
 */
public enum JobOutcome {

	/** The task ran to completion. */
	SUCCEEDED,

	/** The customer's program failed. */
	FAILED,

	/** The worker could not run the task. */
	WORKER_FAILED,

	/** The task was stopped after a checkpoint from which it can be resumed. */
	SUSPENDED,

	/** The task was stopped on request. */
	STOPPED,

	/** The outcome is unknown because the worker was lost while the task ran. */
	UNKNOWN,

	/** The customer cancelled the job. */
	CANCELLED,

	/** The job was refused after it had been accepted, and never ran. */
	REFUSED;

	/**
	 * Whether a job with this outcome is never started again.
	 * @return true if the outcome is final
	 */
	public boolean isFinal() {
		return this == SUCCEEDED || this == CANCELLED || this == REFUSED;
	}

}
