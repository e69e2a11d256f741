package org.almondmount.configuration;

import org.almondmount.model.Configuration;
import org.almondmount.plan.Plan;

/**
 * Everything that the confirmation keeper is told.
 */
public sealed interface ConfirmationEvent {

	/**
	 * An operator confirms a plan.
	 *
	 * @param request matches the answer
	 * @param plan the plan as its row has it
	 * @param current the configuration in force
	 */
	record Confirmed(long request, Plan plan, Configuration current) implements ConfirmationEvent {
	}

	/** The commit of a configuration came to its end. */
	record CommitEnded(long revision, CommitOutcome outcome) implements ConfirmationEvent {
	}

	/** This entry no longer holds the scheduler's lease. */
	record SteppedDown() implements ConfirmationEvent {
	}

	/** A regular tick. */
	record Tick() implements ConfirmationEvent {
	}

	/**
	 * How the commit of a configuration ended, settled if its answer was lost.
	 */
	enum CommitOutcome {

		/** It took effect. */
		COMMITTED,

		/** Another change was first, or the plan was used already. */
		SUPERSEDED,

		/** The table refused it; it never takes effect. */
		NOT_COMMITTED

	}

}
