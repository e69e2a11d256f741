package org.almondmount.slots;

import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;

/**
 * Everything that a target's slot gate asks its driver to do.
 */
public sealed interface SlotCommand {

	/** Tell the entry how many slots it may use from now on. */
	record LendSlots(EntryId entry, int slots) implements SlotCommand {
	}

	/** Pass the attempt to the instance. */
	record Run(EntryId entry, RequestId request, int attempt, long deadlineMillis) implements SlotCommand {
	}

	/** Answer the entry: it did not start and never will. */
	record RefuseNotStarted(EntryId entry, RequestId request, int attempt, String reason) implements SlotCommand {
	}

	/** Pass the instance's whole answer to the entry. */
	record Answer(EntryId entry, RequestId request, int attempt) implements SlotCommand {
	}

	/**
	 * Tell the entry that the instance may have run it and nobody can tell how it ended.
	 */
	record AnswerBroken(EntryId entry, RequestId request, int attempt, String reason) implements SlotCommand {
	}

	/** Tell every entry that this target takes no new work. */
	record AnnounceDraining() implements SlotCommand {
	}

	/** Everything is answered: the process may end. */
	record Drained() implements SlotCommand {
	}

}
