package org.almondmount.jobs;

import java.util.List;

import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;

/**
 * A job as it stands now, for listings.
 *
 * @param job its identifier
 * @param spec what was submitted
 * @param phase where it stands
 * @param attempt the current or last attempt, 0 before the first
 * @param placement the members' workers, empty while it waits
 * @param explanation a sentence that explains the phase
 * @param sinceMillis when the phase began, in the driver's time
 */
public record JobView(JobId job, JobSpec spec, Phase phase, int attempt, List<Assignment> placement, String explanation,
		long sinceMillis) {

	/**
	 * Where a job stands.
	 */
	public enum Phase {

		/** Waits for a place. */
		WAITING,

		/** A placement is being committed or its members are being prepared. */
		STARTING,

		/** All members run. */
		RUNNING,

		/** Members are being checkpointed or stopped. */
		STOPPING,

		/** It has its final ending. */
		ENDED

	}

}
