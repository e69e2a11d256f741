package org.almondmount.term;

import java.util.Optional;

/**
 * The events that the term manager handles.
 */
public sealed interface TermEvent {

	/**
	 * The row at some time since it was requested.
	 *
	 * @param row empty if there is none
	 * @param version its version, 0 if there is none
	 */
	record RowRead(Optional<TermRow> row, long version) implements TermEvent {
	}

	/** The store did not answer the read. */
	record ReadFailed() implements TermEvent {
	}

	/** A commit took effect; the row is at that version now. */
	record Committed(long commitNumber, long version) implements TermEvent {
	}

	/** The condition of a commit did not hold; the row is the current one. */
	record Conflict(long commitNumber, Optional<TermRow> row, long version) implements TermEvent {
	}

	/** A commit took no effect and never will. */
	record CommitRefused(long commitNumber) implements TermEvent {
	}

	/** A commit was not answered: it may have taken effect, or may do so later. */
	record Unanswered(long commitNumber) implements TermEvent {
	}

	/**
	 * An entry announces that it holds the term.
	 *
	 * @param epoch the epoch
	 * @param commitNumber the number of its last commit that is in the store, 0 if it
	 * does not announce one
	 */
	record HolderAnnounced(long epoch, long commitNumber) implements TermEvent {
	}

	/**
	 * The holder of that epoch or an earlier one certainly decides nothing any more: it
	 * has announced so, or its process is gone.
	 */
	record HolderResigned(long epoch) implements TermEvent {
	}

	/** The connection to the holder is lost; its state is unknown. */
	record HolderLost() implements TermEvent {
	}

	/** The store answers, but has not executed a commit yet. */
	record CommitDelayed(long commitNumber) implements TermEvent {
	}

	/** The store answers again after it did not answer for a while. */
	record StoreRecovered() implements TermEvent {
	}

	/** Commits data together with the row, under this term. */
	record Save(long sequence) implements TermEvent {
	}

	/** Releases the term if it is held; it is not taken again. */
	record Release() implements TermEvent {
	}

	/** Time has passed. */
	record Tick() implements TermEvent {
	}

}
