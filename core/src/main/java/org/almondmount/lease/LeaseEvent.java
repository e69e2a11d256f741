package org.almondmount.lease;

import java.util.Optional;

/**
 * The events that the lease manager handles.
 */
public sealed interface LeaseEvent {

	/**
	 * The row at some time between the read command and this event.
	 *
	 * @param row empty if there is none
	 * @param version the row's version, 0 if there is none
	 */
	record RowRead(Optional<LeaseRow> row, long version) implements LeaseEvent {
	}

	/** The table did not answer the read. */
	record ReadFailed() implements LeaseEvent {
	}

	/** A commit ended, with the outcome that is known to this entry. */
	record CommitEnded(long commitNumber, CommitOutcome outcome) implements LeaseEvent {
	}

	/** Releases the lease if it is held; it is not taken again. */
	record Release() implements LeaseEvent {
	}

	/** The time requested by {@link LeaseCommand.WakeAt}, or any regular tick. */
	record Tick() implements LeaseEvent {
	}

	/**
	 * The outcome of a commit.
	 */
	enum CommitOutcome {

		/** It took effect. */
		COMMITTED,

		/** It did not take effect and never will. */
		NOT_COMMITTED,

		/** It may have taken effect, or may do so later. */
		UNKNOWN

	}

}
