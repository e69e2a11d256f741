package org.almondmount.workflow;

import org.almondmount.model.InvalidValueException;

/**
 * How workers keep the progress of tasks that save it. Immutable.
 *
 * @param intervalMillis work between two checkpoints
 * @param restoreMillis how long a task takes to go on from one
 */
public record Checkpointing(long intervalMillis, long restoreMillis) {

	/** What is taken for granted where nobody says otherwise. */
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
