package org.almondmount.lease;

import org.almondmount.model.EntryId;

/**
 * Everything that the lease keeper asks its driver to do. At most one read or commit is
 * outstanding at a time.
 */
public sealed interface LeaseCommand {

	/**
	 * Read the row; answer with {@link LeaseEvent.RowRead} or
	 * {@link LeaseEvent.ReadFailed}.
	 */
	record Read() implements LeaseCommand {
	}

	/**
	 * Write the row on the condition that it is at that version; answer with
	 * {@link LeaseEvent.CommitEnded}.
	 *
	 * @param commitNumber matches the answer
	 * @param row the new row
	 * @param expectedVersion the version, 0 for no row
	 * @param takeover whether the epoch is new with it
	 */
	record Commit(long commitNumber, LeaseRow row, long expectedVersion, boolean takeover) implements LeaseCommand {
	}

	/** This entry holds the lease from now on, under a new epoch. */
	record BecameHolder(long epoch) implements LeaseCommand {
	}

	/** This entry no longer holds the lease and may do nothing under that epoch. */
	record SteppedDown(long epoch, String reason) implements LeaseCommand {
	}

	/** Another entry is seen to hold the lease. */
	record HolderSeen(EntryId holder, long epoch, String address) implements LeaseCommand {
	}

	/** The lease was given up, or was not held: the process may end. */
	record Released() implements LeaseCommand {
	}

	/** Send {@link LeaseEvent.Tick} at this time at the latest. */
	record WakeAt(long atMillis) implements LeaseCommand {
	}

}
