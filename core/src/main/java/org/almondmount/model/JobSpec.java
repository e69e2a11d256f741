package org.almondmount.model;

import java.time.Duration;

/**
 * The specification of a job, given by its customer.
 *
 * @param customer the owner
 * @param jobClass the customer's name for a class of similar jobs, by which run times are
 * estimated
 * @param shape the shape of the gang
 * @param urgency how soon it has to start
 * @param repeatable whether it may be started again if an earlier attempt may have run
 * @param declaredRunTime the run time expected by the customer, often inaccurate
 * @param checkpointEvery the time between checkpoints; zero if the job cannot checkpoint
 * @param program the program that the worker runs, opaque to almondmount
 */
public record JobSpec(CustomerId customer, String jobClass, GangShape shape, Urgency urgency, boolean repeatable,
		Duration declaredRunTime, Duration checkpointEvery, String program) {

	public JobSpec {
		Identifiers.require("jobClass", jobClass);
		if (declaredRunTime.isNegative() || declaredRunTime.isZero()) {
			throw new InvalidValueException("declaredRunTime", "is not above zero; give an estimate, such as 10m");
		}
		if (checkpointEvery.isNegative()) {
			throw new InvalidValueException("checkpointEvery", "is negative; give zero if it cannot checkpoint");
		}
	}

	/**
	 * Whether the job saves checkpoints, so that stopping it loses at most one checkpoint
	 * interval.
	 * @return true if it saves checkpoints
	 */
	public boolean savesCheckpoints() {
		return !this.checkpointEvery.isZero();
	}

}
