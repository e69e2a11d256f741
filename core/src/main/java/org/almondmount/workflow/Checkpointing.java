package org.almondmount.workflow;

import org.almondmount.model.InvalidValueException;

/**
 * The times of checkpointing for tasks that save their progress. Immutable.
 *
 * @param intervalMillis the run time between two checkpoints of a task
 * @param restoreMillis how long a task takes to resume from a checkpoint
 */
public record Checkpointing(long intervalMillis, long restoreMillis) {

	/** The default if nothing is configured. */
	public static final Checkpointing DEFAULT = new Checkpointing(1_000, 600);

	public Checkpointing {
		if (intervalMillis <= 0) {
			throw new InvalidValueException("intervalMillis", "is " + intervalMillis + "; give more than 0");
		}
		if (restoreMillis < 0) {
			throw new InvalidValueException("restoreMillis", "is " + restoreMillis + "; give 0 or more");
		}
	}

}
