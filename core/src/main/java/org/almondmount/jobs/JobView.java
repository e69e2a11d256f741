package org.almondmount.jobs;

import java.util.List;

import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;

/**
 * The current state of a job, for listings.
 *
 * @param job the identifier of the job
 * @param spec the submitted specification
 * @param phase the current phase
 * @param attempt the current or last attempt, 0 before the first
 * @param placement the workers of the members, empty while the job waits
 * @param explanation a sentence that explains the phase
 * @param sinceMillis when the phase began, in the driver's time
 */
public record JobView(JobId job, JobSpec spec, Phase phase, int attempt, List<Assignment> placement, String explanation,
		long sinceMillis) {

	/**
	 * The phase of a job.
	 */
	public enum Phase {

		/** The job waits for a placement. */
		WAITING,

		/** A placement is being committed or its members are being prepared. */
		STARTING,

		/** All members are running. */
		RUNNING,

		/** Members are being checkpointed or stopped. */
		STOPPING,

		/** The job has its final outcome. */
		ENDED

	}

}
