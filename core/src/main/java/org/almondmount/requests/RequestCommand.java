package org.almondmount.requests;

import org.almondmount.model.Refusal;
import org.almondmount.model.RequestId;
import org.almondmount.model.TargetId;

/**
 * Commands from the request router to its driver.
 */
public sealed interface RequestCommand {

	/**
	 * Claim the request's idempotency key in the table; report the outcome with
	 * {@link RequestEvent.KeyClaimEnded}.
	 */
	record ClaimKey(RequestId request) implements RequestCommand {
	}

	/** Send the request to a target. */
	record Send(RequestId request, int attempt, TargetId target, long deadlineMillis) implements RequestCommand {
	}

	/** Notify the target that the answer to this attempt is no longer needed. */
	record CancelAttempt(RequestId request, int attempt, TargetId target) implements RequestCommand {
	}

	/**
	 * Return the attempt's complete answer to the caller; if the request has a key,
	 * record the answer first.
	 */
	record Deliver(RequestId request, int attempt) implements RequestCommand {
	}

	/** Return the recorded answer of the first request with this key to the caller. */
	record DeliverRecorded(RequestId request) implements RequestCommand {
	}

	/** Refuse the request immediately. */
	record Refuse(RequestId request, Refusal refusal) implements RequestCommand {
	}

	/** Release the claim on the key: the request did not run and never will. */
	record ReleaseKey(RequestId request) implements RequestCommand {
	}

	/** Count a retry by its reason. */
	record CountRetry(RetryReason reason) implements RequestCommand {
	}

	/** Send {@link RequestEvent.Tick} no later than the given time. */
	record WakeAt(long atMillis) implements RequestCommand {
	}

	/** Log a decision for operators, such as the ejection of a target. */
	record LogDecision(String subject, String message) implements RequestCommand {
	}

}
