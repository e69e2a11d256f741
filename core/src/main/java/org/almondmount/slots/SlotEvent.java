package org.almondmount.slots;

import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;
import org.almondmount.model.ZoneState;

/**
 * Everything that a target's slot gate is told.
 */
public sealed interface SlotEvent {

	/** An entry connected. */
	record EntryJoined(EntryId entry) implements SlotEvent {
	}

	/** An entry's connection is gone: what it sent goes on, its answers have nobody. */
	record EntryLost(EntryId entry) implements SlotEvent {
	}

	/**
	 * The entry has certainly taken in its first loans: it answered a heartbeat that was
	 * sent after them on the same connection.
	 *
	 * @param entry the entry
	 * @param loanCount how many of the loans that it was told since it joined
	 */
	record LoanConfirmed(EntryId entry, int loanCount) implements SlotEvent {
	}

	/** An entry sends an attempt. The deadline is in this process's time. */
	record CallReceived(EntryId entry, RequestId request, int attempt, long deadlineMillis) implements SlotEvent {
	}

	/** An entry gave the attempt up; it may arrive later than this. */
	record CallCancelled(EntryId entry, RequestId request, int attempt) implements SlotEvent {
	}

	/** The instance answered whole. */
	record CallEnded(RequestId request, int attempt) implements SlotEvent {
	}

	/** The instance broke off or timed out. */
	record CallBroken(RequestId request, int attempt, boolean reachedInstance, String reason) implements SlotEvent {
	}

	/** The zone's state as last heard, and when it was true at the source. */
	record ZoneStateReceived(ZoneState state) implements SlotEvent {
	}

	/** The process shuts down or its VM leaves. */
	record Draining() implements SlotEvent {
	}

	/** A regular tick. */
	record Tick() implements SlotEvent {
	}

}
