package org.almondmount.workflow;

/**
 * Says when waiting work is placed next. Deterministic; not thread-safe: one duty owns
 * it.
 * <p>
 * It answers bursts of events, such as the reports and refusals of all workers after a
 * loss of power. A holder that places after each of them is busy for seconds; its
 * renewals wait behind, its term ends, and the next holder fares no better, so that
 * nothing runs at all. Placed once for all that has arrived, and at most half of the
 * time, the same work leaves the holder time for its term, whatever the size of the fleet
 * and the speed of its machine.
 */
public final class PlacementRateLimiter {

	/** Time without placement after a round, in parts of what the round took. */
	private static final int PAUSE_TO_ROUND_RATIO = 1;

	private boolean roundRequested;

	private long earliestRoundMillis = Long.MIN_VALUE;

	/**
	 * Takes note that something has changed since the last round.
	 */
	public void requestRound() {
		this.roundRequested = true;
	}

	/**
	 * Whether a round is to be run.
	 * @param nowMillis the driver's steady clock in milliseconds
	 * @return whether something has changed, and the last round was long enough ago
	 */
	public boolean isDue(long nowMillis) {
		return this.roundRequested && nowMillis >= this.earliestRoundMillis;
	}

	/**
	 * Takes note of a round.
	 * @param startMillis when it began, by the driver's steady clock in milliseconds
	 * @param endMillis when it ended
	 */
	public void recordRound(long startMillis, long endMillis) {
		this.roundRequested = false;
		this.earliestRoundMillis = endMillis + (endMillis - startMillis) * PAUSE_TO_ROUND_RATIO;
	}

}
