package org.almondmount.term;

/**
 * How long a term goes on after its last commit, by how long commits take. Mutable; owned
 * by the keeper.
 * <p>
 * Nothing is decided from the loss of a holder until its term is over, so a term should
 * be short; but it has to outlast a commit and the next one. While commits are quick it
 * is four fifths of the longest, which still outlasts the first two commits of a store
 * that has just become slow.
 */
final class TermLength {

	private static final double FAST_COMMIT_LENGTH_RATIO = 0.8;

	/** Commits that take place one after the other within a length. */
	private static final int COMMITS_PER_LENGTH = 4;

	/** How much of the slowest commit is forgotten with each later one. */
	private static final double SLOWEST_COMMIT_DECAY = 0.8;

	private static final int RENEWALS_PER_LENGTH = 4;

	private static final int CLOCK_MARGIN_DIVISOR = 8;

	private final long maxMillis;

	private double slowestCommitMillis;

	TermLength(long maxMillis) {
		this.maxMillis = maxMillis;
	}

	/**
	 * Takes note of a commit.
	 * @param millis how long it took
	 */
	void recordCommit(long millis) {
		this.slowestCommitMillis = Math.max(millis, this.slowestCommitMillis * SLOWEST_COMMIT_DECAY);
	}

	/**
	 * The length of a term that is renewed now.
	 * @return milliseconds
	 */
	long millis() {
		double minMillis = this.maxMillis * FAST_COMMIT_LENGTH_RATIO;
		return (long) Math.min(this.maxMillis, Math.max(minMillis, this.slowestCommitMillis * COMMITS_PER_LENGTH));
	}

	/**
	 * Whether commits took so long of late that the term is longer than the shortest.
	 * @return whether they did
	 */
	boolean areCommitsSlow() {
		return this.slowestCommitMillis * COMMITS_PER_LENGTH > this.maxMillis * FAST_COMMIT_LENGTH_RATIO;
	}

	/**
	 * How long after a commit the next one renews a term.
	 * @param lengthMillis the length of the term
	 * @return milliseconds
	 */
	static long renewAfterMillis(long lengthMillis) {
		return lengthMillis / RENEWALS_PER_LENGTH;
	}

	/**
	 * For how long after a commit was sent its holder may act: an eighth less than others
	 * wait, which is more than clocks of two machines differ within one length.
	 * @param lengthMillis the length of the term
	 * @return milliseconds
	 */
	static long validForMillis(long lengthMillis) {
		return lengthMillis - lengthMillis / CLOCK_MARGIN_DIVISOR;
	}

}
