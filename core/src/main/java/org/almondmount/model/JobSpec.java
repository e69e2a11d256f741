package org.almondmount.model;

import java.time.Duration;

/**
 * A job as its customer describes it.
 *
 * @param customer the owner
 * @param jobClass the customer's name for jobs that resemble each other, by which run
 * times are learned
 * @param shape the gang
 * @param urgency how soon it has to start
 * @param repeatable whether it may be started again after it may have run
 * @param declaredRunTime what the customer expects, often far off
 * @param checkpointEvery the time between checkpoints; zero when it cannot checkpoint
 * @param program what the worker is asked to run, opaque to almondmount
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
	 * Whether stopping it loses at most one checkpoint interval.
	 * @return true if it checkpoints
	 */
	public boolean savesCheckpoints() {
		return !this.checkpointEvery.isZero();
	}

}
