package org.almondmount.workflow;

/**
 * Decides when the next placement round of waiting work is due. Deterministic; not
 * thread-safe, so only one thread may use an instance.
 * <p>
 * It protects the holder from bursts of events, such as the reports and refusals of all
 * workers after a power loss. A holder that ran a round after each event would be busy
 * for seconds: the renewals of its term would be delayed until the term ends, and the
 * next holder would fail in the same way, so that nothing runs at all. One round serves
 * all events that have arrived by then, and rounds take at most half of the time. This
 * leaves the holder time to renew its term, regardless of the size of the fleet and the
 * speed of the machine.
 */
public final class PlacementRateLimiter {

	/** The pause after a round as a multiple of the duration of the round. */
	private static final int PAUSE_TO_ROUND_RATIO = 1;

	private boolean roundRequested;

	private long earliestRoundMillis = Long.MIN_VALUE;

	/**
	 * Requests a round because something has changed since the last one.
	 */
	public void requestRound() {
		this.roundRequested = true;
	}

	/**
	 * Returns whether a round is due.
	 * @param nowMillis the time on the driver's monotonic clock, in milliseconds
	 * @return whether a round has been requested and the pause after the last one is over
	 */
	public boolean isDue(long nowMillis) {
		return this.roundRequested && nowMillis >= this.earliestRoundMillis;
	}

	/**
	 * Records a completed round.
	 * @param startMillis when the round started, on the driver's monotonic clock in
	 * milliseconds
	 * @param endMillis when the round ended, on the same clock
	 */
	public void recordRound(long startMillis, long endMillis) {
		this.roundRequested = false;
		this.earliestRoundMillis = endMillis + (endMillis - startMillis) * PAUSE_TO_ROUND_RATIO;
	}

}
