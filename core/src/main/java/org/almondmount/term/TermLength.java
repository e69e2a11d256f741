package org.almondmount.term;

/**
 * Computes how long a term is valid after its last commit, from the time that commits
 * take. Mutable; owned by the term manager.
 * <p>
 * After the loss of a holder nothing is decided until its term is over, so a term should
 * be short; but it has to outlast a commit and the next one. While commits are fast the
 * length is four fifths of the maximum, which still outlasts the first two commits after
 * the store has become slow.
 */
final class TermLength {

	private static final double FAST_COMMIT_LENGTH_RATIO = 0.8;

	/** Number of consecutive commits that fit into a length. */
	private static final int COMMITS_PER_LENGTH = 4;

	/** Factor by which the slowest commit time decays with each later commit. */
	private static final double SLOWEST_COMMIT_DECAY = 0.8;

	private static final int RENEWALS_PER_LENGTH = 4;

	private static final int CLOCK_MARGIN_DIVISOR = 8;

	private final long maxMillis;

	private double slowestCommitMillis;

	TermLength(long maxMillis) {
		this.maxMillis = maxMillis;
	}

	/**
	 * Records the duration of a commit.
	 * @param millis how long it took
	 */
	void recordCommit(long millis) {
		this.slowestCommitMillis = Math.max(millis, this.slowestCommitMillis * SLOWEST_COMMIT_DECAY);
	}

	/**
	 * Returns the length of a term that is renewed now.
	 * @return milliseconds
	 */
	long millis() {
		double minMillis = this.maxMillis * FAST_COMMIT_LENGTH_RATIO;
		return (long) Math.min(this.maxMillis, Math.max(minMillis, this.slowestCommitMillis * COMMITS_PER_LENGTH));
	}

	/**
	 * Returns whether recent commits were so slow that the term is longer than the
	 * minimum.
	 * @return true if they were
	 */
	boolean areCommitsSlow() {
		return this.slowestCommitMillis * COMMITS_PER_LENGTH > this.maxMillis * FAST_COMMIT_LENGTH_RATIO;
	}

	/**
	 * Returns how long after a commit the next one renews the term.
	 * @param lengthMillis the length of the term
	 * @return milliseconds
	 */
	static long renewAfterMillis(long lengthMillis) {
		return lengthMillis / RENEWALS_PER_LENGTH;
	}

	/**
	 * Returns for how long after a commit was sent its holder may act. It is an eighth
	 * less than other entries wait, which is more than the clocks of two machines diverge
	 * within one length.
	 * @param lengthMillis the length of the term
	 * @return milliseconds
	 */
	static long validForMillis(long lengthMillis) {
		return lengthMillis - lengthMillis / CLOCK_MARGIN_DIVISOR;
	}

}
