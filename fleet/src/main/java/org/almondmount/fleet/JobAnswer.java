package org.almondmount.fleet;

import org.almondmount.workflow.JobPhase;

/**
 * What an entry can say of a job.
 */
public sealed interface JobAnswer {

	/** Where the job stands. */
	record Known(JobPhase phase) implements JobAnswer {
	}

	/** There is no such job. */
	record NoSuchJob() implements JobAnswer {
	}

	/** Neither the holder nor the store answered in time. */
	record Unavailable() implements JobAnswer {
	}

}
