package org.almondmount.fleet;

import org.almondmount.workflow.JobPhase;

/**
 * Answer of an entry to a query about a job.
 */
public sealed interface JobAnswer {

	/**
	 * The state of the job.
	 *
	 * @param phase phase of the job
	 * @param reason why the job failed, or empty
	 */
	record Known(JobPhase phase, String reason) implements JobAnswer {

		public Known(JobPhase phase) {
			this(phase, "");
		}

	}

	/** The job does not exist. */
	record NoSuchJob() implements JobAnswer {
	}

	/** Neither the holder nor the store answered in time. */
	record Unavailable() implements JobAnswer {
	}

}
