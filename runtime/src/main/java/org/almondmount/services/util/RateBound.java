package org.almondmount.services.util;

import java.util.function.LongSupplier;

/**
 * A token bucket. Thread-safe.
 * <p>
 * The platform's table takes a few hundred writes a second for everybody. A burst beyond
 * it would come back as refusals and timeouts for all processes; a bound at each process
 * keeps its own burst from becoming everybody's.
 */
public final class RateBound {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double perSecond;

	private final LongSupplier nanoClock;

	private double tokens;

	private long lastNanos;

	/**
	 * Makes a full bucket.
	 * @param perSecond the rate, also the burst
	 * @param nanoClock a monotonic clock in nanoseconds
	 */
	public RateBound(int perSecond, LongSupplier nanoClock) {
		this.perSecond = perSecond;
		this.nanoClock = nanoClock;
		this.tokens = perSecond;
		this.lastNanos = nanoClock.getAsLong();
	}

	/**
	 * Takes one token.
	 * @return false when there is none
	 */
	public synchronized boolean tryTake() {
		long now = this.nanoClock.getAsLong();
		double earned = (now - this.lastNanos) * this.perSecond / NANOS_PER_SECOND;
		this.tokens = Math.min(this.perSecond, this.tokens + earned);
		this.lastNanos = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
