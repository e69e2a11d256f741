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

	private static final double QUICK_SHARE = 0.8;

	/** Commits that take place one after the other within a length. */
	private static final int COMMITS_A_LENGTH = 4;

	/** How much of the slowest commit is forgotten with each later one. */
	private static final double FADING = 0.8;

	private static final int RENEWALS_A_LENGTH = 4;

	private static final int MARGIN_PARTS = 8;

	private final long longestMillis;

	private double slowestMillis;

	TermLength(long longestMillis) {
		this.longestMillis = longestMillis;
	}

	/**
	 * Takes note of a commit.
	 * @param millis how long it took
	 */
	void committed(long millis) {
		this.slowestMillis = Math.max(millis, this.slowestMillis * FADING);
	}

	/**
	 * The length of a term that is renewed now.
	 * @return milliseconds
	 */
	long millis() {
		double shortest = this.longestMillis * QUICK_SHARE;
		return (long) Math.min(this.longestMillis, Math.max(shortest, this.slowestMillis * COMMITS_A_LENGTH));
	}

	/**
	 * Whether commits took so long of late that the term is longer than the shortest.
	 * @return whether they did
	 */
	boolean slow() {
		return this.slowestMillis * COMMITS_A_LENGTH > this.longestMillis * QUICK_SHARE;
	}

	/**
	 * How long after a commit the next one renews a term.
	 * @param lengthMillis the length of the term
	 * @return milliseconds
	 */
	static long renewAfterMillis(long lengthMillis) {
		return lengthMillis / RENEWALS_A_LENGTH;
	}

	/**
	 * For how long after a commit was sent its holder may act: an eighth less than others
	 * wait, which is more than clocks of two machines differ within one length.
	 * @param lengthMillis the length of the term
	 * @return milliseconds
	 */
	static long validForMillis(long lengthMillis) {
		return lengthMillis - lengthMillis / MARGIN_PARTS;
	}

}
