package org.almondmount.requests;

import org.almondmount.model.Refusal;
import org.almondmount.model.RequestId;
import org.almondmount.model.TargetId;

/**
 * Everything that the request router asks its driver to do.
 */
public sealed interface RequestCommand {

	/**
	 * Claim the request's key in the table; answer with
	 * {@link RequestEvent.KeyClaimEnded}.
	 */
	record ClaimKey(RequestId request) implements RequestCommand {
	}

	/** Send the request to a target. */
	record Send(RequestId request, int attempt, TargetId target, long deadlineMillis) implements RequestCommand {
	}

	/** Tell the target that nobody waits for this attempt any more. */
	record CancelAttempt(RequestId request, int attempt, TargetId target) implements RequestCommand {
	}

	/**
	 * Pass the attempt's whole answer to the caller; record it first if there is a key.
	 */
	record Deliver(RequestId request, int attempt) implements RequestCommand {
	}

	/** Pass the recorded answer of the key's first request to the caller. */
	record DeliverRecorded(RequestId request) implements RequestCommand {
	}

	/** End the request with a refusal, at once. */
	record Refuse(RequestId request, Refusal refusal) implements RequestCommand {
	}

	/** The key's claim can be released: the request did not run and never will. */
	record ReleaseKey(RequestId request) implements RequestCommand {
	}

	/** Count a retry and its reason. */
	record CountRetry(RetryReason reason) implements RequestCommand {
	}

	/** Send {@link RequestEvent.Tick} at this time at the latest. */
	record WakeAt(long atMillis) implements RequestCommand {
	}

	/** Something that an operator should be able to read, such as an ejected target. */
	record LogDecision(String subject, String message) implements RequestCommand {
	}

}
