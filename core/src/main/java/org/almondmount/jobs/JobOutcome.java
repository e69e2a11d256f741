package org.almondmount.jobs;

/**
 * How a member's task, or a whole job, came to its end.
 */
public enum JobOutcome {

	/** It ran to its end. */
	SUCCEEDED,

	/** Its own program failed. */
	FAILED,

	/** The worker could not run it. */
	WORKER_FAILED,

	/** It was stopped after a checkpoint, and can go on from there. */
	SUSPENDED,

	/** It was stopped on request. */
	STOPPED,

	/** Nobody can tell: the worker was lost while it ran. */
	UNKNOWN,

	/** The customer cancelled it. */
	CANCELLED,

	/** It was refused after it had been accepted, and never ran. */
	REFUSED;

	/**
	 * Whether a job that ended so will never be started again.
	 * @return true if it will not
	 */
	public boolean isFinal() {
		return this == SUCCEEDED || this == CANCELLED || this == REFUSED;
	}

}
