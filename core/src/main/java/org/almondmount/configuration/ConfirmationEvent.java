package org.almondmount.configuration;

import org.almondmount.model.Configuration;
import org.almondmount.plan.Plan;

/**
 * Events that the confirmation manager handles.
 */
public sealed interface ConfirmationEvent {

	/**
	 * An operator confirmed a plan.
	 *
	 * @param request identifies the answer to the request
	 * @param plan the plan as stored in its row
	 * @param current the configuration in force
	 */
	record Confirmed(long request, Plan plan, Configuration current) implements ConfirmationEvent {
	}

	/** The commit of a configuration has completed. */
	record CommitEnded(long revision, CommitOutcome outcome) implements ConfirmationEvent {
	}

	/** This entry no longer holds the scheduler's lease. */
	record SteppedDown() implements ConfirmationEvent {
	}

	/** A regular tick. */
	record Tick() implements ConfirmationEvent {
	}

	/**
	 * Outcome of the commit of a configuration, determined afterwards if the answer was
	 * lost.
	 */
	enum CommitOutcome {

		/** It took effect. */
		COMMITTED,

		/** Another change was committed first, or the plan was already used. */
		SUPERSEDED,

		/** The table refused it; it never takes effect. */
		NOT_COMMITTED

	}

}
