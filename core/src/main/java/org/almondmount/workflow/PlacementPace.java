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
public final class PlacementPace {

	/** Time without placement after a round, in parts of what the round took. */
	private static final int REST = 1;

	private boolean wanted;

	private long notBefore = Long.MIN_VALUE;

	/**
	 * Takes note that something has changed since the last round.
	 */
	public void want() {
		this.wanted = true;
	}

	/**
	 * Whether a round is to be run.
	 * @param now the driver's steady clock in milliseconds
	 * @return whether something has changed, and the last round was long enough ago
	 */
	public boolean due(long now) {
		return this.wanted && now >= this.notBefore;
	}

	/**
	 * Takes note of a round.
	 * @param from when it began, by the driver's steady clock in milliseconds
	 * @param to when it ended
	 */
	public void placed(long from, long to) {
		this.wanted = false;
		this.notBefore = to + (to - from) * REST;
	}

}
