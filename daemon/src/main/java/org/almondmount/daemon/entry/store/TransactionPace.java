package org.almondmount.daemon.entry.store;

/**
 * A token bucket that holds one second of transactions. Not thread-safe.
 */
final class TransactionPace {

	private static final double MILLIS_A_SECOND = 1_000.0;

	private final int perSecond;

	private double available;

	private long since;

	TransactionPace(int perSecond) {
		this.perSecond = perSecond;
		this.available = perSecond;
	}

	/**
	 * How long to wait before the next transaction.
	 * @param now the time in milliseconds
	 * @return milliseconds, 0 to go on at once
	 */
	long waitMillis(long now) {
		refill(now);
		if (this.available > 0) {
			return 0;
		}
		return (long) Math.ceil((1 - this.available) * MILLIS_A_SECOND / this.perSecond);
	}

	void spend(long now) {
		refill(now);
		this.available -= 1;
	}

	private void refill(long now) {
		this.available = Math.min(this.perSecond,
				this.available + (now - this.since) * this.perSecond / MILLIS_A_SECOND);
		this.since = now;
	}

}
