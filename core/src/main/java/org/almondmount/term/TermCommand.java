package org.almondmount.term;

/**
 * Everything that the term keeper asks its driver to do. One read or commit is
 * outstanding at a time.
 */
public sealed interface TermCommand {

	/** Read the row. */
	record Read() implements TermCommand {
	}

	/**
	 * Write the row on the condition that it is at that version.
	 *
	 * @param row the new row
	 * @param expectedVersion the version, 0 for no row
	 * @param saveSequence the sequence of what is committed with it, 0 for nothing
	 */
	record Commit(TermRow row, long expectedVersion, long saveSequence) implements TermCommand {
	}

	/** This entry may decide from now on. */
	record Began(long epoch) implements TermCommand {
	}

	/** This entry may no longer decide. */
	record Ended(long epoch, String reason) implements TermCommand {
	}

	/** What was to be committed is committed. */
	record Saved(long sequence) implements TermCommand {
	}

	/** Another entry holds the term. */
	record HolderSeen(TermRow row) implements TermCommand {
	}

	/** The term of that epoch was given up; 0 where none was held. */
	record Released(long epoch) implements TermCommand {
	}

}
