package org.almondmount.requests;

import java.util.Optional;

import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.RequestId;
import org.almondmount.model.TargetId;
import org.almondmount.model.ZoneId;

/**
 * Everything that the request router is told. Bodies stay with the driver; the router
 * knows identifiers and sizes.
 */
public sealed interface RequestEvent {

	/** A caller's request was read whole. The deadline is in the driver's time. */
	record Arrived(RequestId request, CustomerId customer, boolean idempotent, Optional<String> key,
			long deadlineMillis) implements RequestEvent {
	}

	/** The caller closed its connection; nobody waits for the answer any more. */
	record CallerGone(RequestId request) implements RequestEvent {
	}

	/** A target announced itself with the slots that it lends to this entry. */
	record TargetJoined(TargetId target, ZoneId zone, int slots) implements RequestEvent {
	}

	/** The slots that the target lends to this entry from now on. */
	record TargetSlotsChanged(TargetId target, int slots) implements RequestEvent {
	}

	/** The target takes no new work. */
	record TargetDraining(TargetId target) implements RequestEvent {
	}

	/**
	 * The connection to the target is gone or silent; nothing more will be heard on it.
	 */
	record TargetLost(TargetId target) implements RequestEvent {
	}

	/** The target's instance gave a whole answer. */
	record Answered(RequestId request, int attempt, TargetId target, AnswerKind kind) implements RequestEvent {
	}

	/** The target did not start it and never will. */
	record NotStarted(RequestId request, int attempt, TargetId target, String reason) implements RequestEvent {
	}

	/** The target sent it to its instance and can't tell how it ended. */
	record Broken(RequestId request, int attempt, TargetId target, String reason) implements RequestEvent {
	}

	/** Nothing was sent: the connection's ring was full or closed. */
	record NotSent(RequestId request, int attempt, TargetId target) implements RequestEvent {
	}

	/** What the table said about the key of a request. */
	record KeyClaimEnded(RequestId request, KeyClaimOutcome outcome) implements RequestEvent {
	}

	/** The accepted configuration, whole. */
	record ConfigurationChanged(Configuration configuration) implements RequestEvent {
	}

	/** The moment asked for by {@link RequestCommand.WakeAt}, or any regular tick. */
	record Tick() implements RequestEvent {
	}

	/** The process shuts down: refuse what arrives, finish what is there. */
	record Draining() implements RequestEvent {
	}

	/**
	 * What a whole answer says about the target's health.
	 */
	enum AnswerKind {

		/** The instance did its work, whatever it told the caller. */
		HEALTHY,

		/** The instance says that it failed. */
		ERROR

	}

	/**
	 * What the table said about a key.
	 */
	enum KeyClaimOutcome {

		/** The key is this request's: send it. */
		CLAIMED,

		/**
		 * Another request holds the key, and its outcome is recorded: the driver has it.
		 */
		ANSWERED_BEFORE,

		/** Another request holds the key, and its ending is not known. */
		HELD_BY_OTHER,

		/** The key was used for different content. */
		DIFFERENT_CONTENT,

		/** The table is away: the claim was certainly not made. */
		STORE_AWAY,

		/** The claim may or may not have been made; nothing was sent. */
		UNKNOWN

	}

}
