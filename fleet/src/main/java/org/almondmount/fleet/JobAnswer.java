package org.almondmount.fleet;

import org.almondmount.workflow.JobPhase;

/**
 * What an entry can say of a job.
 */
public sealed interface JobAnswer {

	/**
	 * Where the job stands.
	 *
	 * @param phase its phase
	 * @param reason why it was given up, or empty
	 */
	record Known(JobPhase phase, String reason) implements JobAnswer {

		public Known(JobPhase phase) {
			this(phase, "");
		}

	}

	/** There is no such job. */
	record NoSuchJob() implements JobAnswer {
	}

	/** Neither the holder nor the store answered in time. */
	record Unavailable() implements JobAnswer {
	}

}
