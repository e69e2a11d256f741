package org.almondmount.configuration;

import org.almondmount.model.Configuration;
import org.almondmount.model.Refusal;
import org.almondmount.plan.Plan;

/**
 * Commands from the confirmation manager to its driver.
 */
public sealed interface ConfirmationCommand {

	/**
	 * Start no task until {@link AllowStarts}, because a zone may already be out of
	 * service.
	 */
	record HoldStarts() implements ConfirmationCommand {
	}

	/** Starts are no longer held by the pending change. */
	record AllowStarts() implements ConfirmationCommand {
	}

	/**
	 * Commit the configuration with its plan and history, fenced by the epoch, and
	 * determine the outcome if the answer is lost; report it with
	 * {@link ConfirmationEvent.CommitEnded}.
	 */
	record Commit(Plan plan, Configuration next) implements ConfirmationCommand {
	}

	/** Put the accepted configuration in force. */
	record Accepted(Configuration configuration) implements ConfirmationCommand {
	}

	/** Inform the operator that the revision is accepted. */
	record AnswerAccepted(long request, long revision) implements ConfirmationCommand {
	}

	/**
	 * Inform the operator why the change is refused or that its outcome is not known yet.
	 */
	record AnswerRefused(long request, Refusal refusal) implements ConfirmationCommand {
	}

}
