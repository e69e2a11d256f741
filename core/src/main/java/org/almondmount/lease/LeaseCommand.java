package org.almondmount.lease;

import org.almondmount.model.EntryId;

/**
 * The commands that the lease manager returns to its driver. At most one read or commit
 * is outstanding at a time.
 */
public sealed interface LeaseCommand {

	/**
	 * Reads the row; answered with {@link LeaseEvent.RowRead} or
	 * {@link LeaseEvent.ReadFailed}.
	 */
	record Read() implements LeaseCommand {
	}

	/**
	 * Writes the row if it is at the expected version; answered with
	 * {@link LeaseEvent.CommitEnded}.
	 *
	 * @param commitNumber identifies the commit in its answer
	 * @param row the new row
	 * @param expectedVersion the version, 0 for no row
	 * @param takeover whether the row has a new epoch
	 */
	record Commit(long commitNumber, LeaseRow row, long expectedVersion, boolean takeover) implements LeaseCommand {
	}

	/** This entry holds the lease from now on, under a new epoch. */
	record BecameHolder(long epoch) implements LeaseCommand {
	}

	/** This entry no longer holds the lease and must not act under that epoch. */
	record SteppedDown(long epoch, String reason) implements LeaseCommand {
	}

	/** A row that was read names another entry as holder of the lease. */
	record HolderSeen(EntryId holder, long epoch, String address) implements LeaseCommand {
	}

	/** The lease was released or was not held; the process may exit. */
	record Released() implements LeaseCommand {
	}

	/** Asks for {@link LeaseEvent.Tick} at this time at the latest. */
	record WakeAt(long atMillis) implements LeaseCommand {
	}

}
