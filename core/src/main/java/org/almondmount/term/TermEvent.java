package org.almondmount.term;

import java.util.Optional;

/**
 * Everything that the term keeper is told.
 */
public sealed interface TermEvent {

	/**
	 * The row as it was at some moment since it was asked for.
	 *
	 * @param row empty where there is none
	 * @param version its version, 0 where there is none
	 */
	record RowRead(Optional<TermRow> row, long version) implements TermEvent {
	}

	/** The store did not answer the read. */
	record ReadFailed() implements TermEvent {
	}

	/** A commit took effect; the row is at that version now. */
	record Committed(long commitNumber, long version) implements TermEvent {
	}

	/** The condition of a commit did not hold. */
	record Conflict(long commitNumber, Optional<TermRow> row, long version) implements TermEvent {
	}

	/** A commit took no effect and never will. */
	record CommitRefused(long commitNumber) implements TermEvent {
	}

	/** A commit was not answered: it may have taken effect, or may still do so. */
	record Unanswered(long commitNumber) implements TermEvent {
	}

	/**
	 * An entry says that it holds the term.
	 *
	 * @param epoch the epoch
	 * @param commitNumber the number of its last commit that is in the store, 0 where it
	 * does not say
	 */
	record HolderAnnounced(long epoch, long commitNumber) implements TermEvent {
	}

	/**
	 * The holder of that epoch, or of an earlier one, surely decides nothing any more: it
	 * said so, or its process is gone.
	 */
	record HolderResigned(long epoch) implements TermEvent {
	}

	/** The connection to the holder is lost; nothing is known of it. */
	record HolderLost() implements TermEvent {
	}

	/** The store answers slowly, and has not carried a commit out yet. */
	record CommitDelayed(long commitNumber) implements TermEvent {
	}

	/** The store, which was silent, answers again. */
	record StoreRecovered() implements TermEvent {
	}

	/** Commit something together with the row, under this term. */
	record Save(long sequence) implements TermEvent {
	}

	/** Give the term up if it is held, and never take one again. */
	record Release() implements TermEvent {
	}

	/** Time has passed. */
	record Tick() implements TermEvent {
	}

}
