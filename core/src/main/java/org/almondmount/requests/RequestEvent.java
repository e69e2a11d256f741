package org.almondmount.requests;

import java.util.Optional;

import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.RequestId;
import org.almondmount.model.TargetId;
import org.almondmount.model.ZoneId;

/**
 * Events that the request router handles. The driver keeps the bodies; the router handles
 * identifiers and sizes only.
 */
public sealed interface RequestEvent {

	/**
	 * A caller's request was received completely. The deadline refers to the driver's
	 * clock.
	 */
	record Arrived(RequestId request, CustomerId customer, boolean idempotent, Optional<String> key,
			long deadlineMillis) implements RequestEvent {
	}

	/** The caller closed its connection and no longer waits for the answer. */
	record CallerGone(RequestId request) implements RequestEvent {
	}

	/**
	 * A target connected and announced the number of slots that it lends to this entry.
	 */
	record TargetJoined(TargetId target, ZoneId zone, int slots) implements RequestEvent {
	}

	/** The number of slots that the target lends to this entry has changed. */
	record TargetSlotsChanged(TargetId target, int slots) implements RequestEvent {
	}

	/** The target accepts no new requests. */
	record TargetDraining(TargetId target) implements RequestEvent {
	}

	/**
	 * The connection to the target is closed or timed out; no further message will arrive
	 * on it.
	 */
	record TargetLost(TargetId target) implements RequestEvent {
	}

	/** The target's instance returned a complete answer. */
	record Answered(RequestId request, int attempt, TargetId target, AnswerKind kind) implements RequestEvent {
	}

	/** The target did not start the attempt and never will. */
	record NotStarted(RequestId request, int attempt, TargetId target, String reason) implements RequestEvent {
	}

	/** The target passed the attempt to its instance and does not know the outcome. */
	record Broken(RequestId request, int attempt, TargetId target, String reason) implements RequestEvent {
	}

	/**
	 * The attempt was not sent because the connection's ring buffer was full or closed.
	 */
	record NotSent(RequestId request, int attempt, TargetId target) implements RequestEvent {
	}

	/** The claim on a request's key has completed. */
	record KeyClaimEnded(RequestId request, KeyClaimOutcome outcome) implements RequestEvent {
	}

	/** The complete accepted configuration. */
	record ConfigurationChanged(Configuration configuration) implements RequestEvent {
	}

	/** The time requested by {@link RequestCommand.WakeAt}, or a regular tick. */
	record Tick() implements RequestEvent {
	}

	/**
	 * The process shuts down: new requests are refused, accepted requests are finished.
	 */
	record Draining() implements RequestEvent {
	}

	/**
	 * What a complete answer indicates about the target's health.
	 */
	enum AnswerKind {

		/** The instance processed the request, whatever the content of its answer. */
		HEALTHY,

		/** The instance reported a failure. */
		ERROR

	}

	/**
	 * The outcome of a claim on an idempotency key.
	 */
	enum KeyClaimOutcome {

		/** This request holds the key and can be sent. */
		CLAIMED,

		/**
		 * Another request held the key and its answer is recorded; the driver has read
		 * it.
		 */
		ANSWERED_BEFORE,

		/** Another request holds the key and its outcome is not known. */
		HELD_BY_OTHER,

		/** The key was used for a request with different content. */
		DIFFERENT_CONTENT,

		/** The table is unavailable and the claim was certainly not made. */
		STORE_AWAY,

		/** The claim may or may not have been made; nothing was sent. */
		UNKNOWN

	}

}
