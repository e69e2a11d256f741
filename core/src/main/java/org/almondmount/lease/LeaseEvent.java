package org.almondmount.lease;

import java.util.Optional;

/**
 * Everything that the lease keeper is told.
 */
public sealed interface LeaseEvent {

	/**
	 * The row as it was at some moment between the read command and this event.
	 *
	 * @param row empty if there is none
	 * @param version the row's version, 0 if there is none
	 */
	record RowRead(Optional<LeaseRow> row, long version) implements LeaseEvent {
	}

	/** The table did not answer the read. */
	record ReadFailed() implements LeaseEvent {
	}

	/** A commit came to its end, as far as this entry can tell. */
	record CommitEnded(long commitNumber, CommitOutcome outcome) implements LeaseEvent {
	}

	/** Give the lease up if it is held, and never take it again. */
	record Release() implements LeaseEvent {
	}

	/** The moment asked for by {@link LeaseCommand.WakeAt}, or any regular tick. */
	record Tick() implements LeaseEvent {
	}

	/**
	 * How a commit ended.
	 */
	enum CommitOutcome {

		/** It took effect. */
		COMMITTED,

		/** It did not take effect and never will. */
		NOT_COMMITTED,

		/** It may have taken effect, or may still do so. */
		UNKNOWN

	}

}
