package org.almondmount.slots;

import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;
import org.almondmount.model.ZoneState;

/**
 * Events that a target's slot gate handles.
 */
public sealed interface SlotEvent {

	/** An entry connected. */
	record EntryJoined(EntryId entry) implements SlotEvent {
	}

	/**
	 * An entry's connection is closed: its running attempts continue, but their answers
	 * cannot be delivered.
	 */
	record EntryLost(EntryId entry) implements SlotEvent {
	}

	/**
	 * The entry has confirmed its first loans by answering a heartbeat that was sent
	 * after them on the same connection.
	 *
	 * @param entry the entry
	 * @param loanCount number of confirmed loan messages since the entry joined
	 */
	record LoanConfirmed(EntryId entry, int loanCount) implements SlotEvent {
	}

	/** An entry sent an attempt. The deadline refers to the clock of this process. */
	record CallReceived(EntryId entry, RequestId request, int attempt, long deadlineMillis) implements SlotEvent {
	}

	/** An entry cancelled the attempt. The attempt itself may arrive after this event. */
	record CallCancelled(EntryId entry, RequestId request, int attempt) implements SlotEvent {
	}

	/** The instance returned a complete answer. */
	record CallEnded(RequestId request, int attempt) implements SlotEvent {
	}

	/** The call to the instance failed or timed out. */
	record CallBroken(RequestId request, int attempt, boolean reachedInstance, String reason) implements SlotEvent {
	}

	/** The most recently received state of the zone. */
	record ZoneStateReceived(ZoneState state) implements SlotEvent {
	}

	/** The process shuts down or its VM is drained. */
	record Draining() implements SlotEvent {
	}

	/** A regular tick. */
	record Tick() implements SlotEvent {
	}

}
