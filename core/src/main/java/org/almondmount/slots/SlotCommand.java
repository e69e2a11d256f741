package org.almondmount.slots;

import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;

/**
 * Commands from a target's slot gate to its driver.
 */
public sealed interface SlotCommand {

	/** Announce to the entry the number of slots that it may use from now on. */
	record LendSlots(EntryId entry, int slots) implements SlotCommand {
	}

	/** Pass the attempt to the instance. */
	record Run(EntryId entry, RequestId request, int attempt, long deadlineMillis) implements SlotCommand {
	}

	/** Report to the entry that the attempt did not start and never will. */
	record RefuseNotStarted(EntryId entry, RequestId request, int attempt, String reason) implements SlotCommand {
	}

	/** Pass the instance's complete answer to the entry. */
	record Answer(EntryId entry, RequestId request, int attempt) implements SlotCommand {
	}

	/**
	 * Report to the entry that the instance may have run the attempt and that its outcome
	 * is unknown.
	 */
	record AnswerBroken(EntryId entry, RequestId request, int attempt, String reason) implements SlotCommand {
	}

	/** Announce to every entry that this target accepts no new requests. */
	record AnnounceDraining() implements SlotCommand {
	}

	/** All attempts are answered and the process may exit. */
	record Drained() implements SlotCommand {
	}

}
