package org.almondmount.term;

/**
 * The commands that the term manager returns to its driver. At most one read or commit is
 * outstanding at a time.
 */
public sealed interface TermCommand {

	/** Reads the row. */
	record Read() implements TermCommand {
	}

	/**
	 * Writes the row if it is at the expected version.
	 *
	 * @param row the new row
	 * @param expectedVersion the version, 0 for no row
	 * @param saveSequence the sequence number of the data that is committed with it, 0
	 * for none
	 */
	record Commit(TermRow row, long expectedVersion, long saveSequence) implements TermCommand {
	}

	/** This entry is the holder from now on and may decide. */
	record Began(long epoch) implements TermCommand {
	}

	/** This entry is no longer the holder and may not decide. */
	record Ended(long epoch, String reason) implements TermCommand {
	}

	/** The data with this sequence number is committed. */
	record Saved(long sequence) implements TermCommand {
	}

	/** Another entry holds the term. */
	record HolderSeen(TermRow row) implements TermCommand {
	}

	/** The term of that epoch was released; 0 if none was held. */
	record Released(long epoch) implements TermCommand {
	}

}
