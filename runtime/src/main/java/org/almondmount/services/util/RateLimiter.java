package org.almondmount.services.util;

import java.util.function.LongSupplier;

/**
 * A token bucket. Thread-safe.
 * <p>
 * The platform's table takes a few hundred writes a second for everybody. A burst beyond
 * it would come back as refusals and timeouts for all processes; a bound at each process
 * keeps its own burst from becoming everybody's.
 */
public final class RateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double permitsPerSecond;

	private final LongSupplier nanoClock;

	private double tokens;

	private long lastRefillNanos;

	/**
	 * Makes a full bucket.
	 * @param permitsPerSecond the rate, also the burst
	 * @param nanoClock a monotonic clock in nanoseconds
	 */
	public RateLimiter(int permitsPerSecond, LongSupplier nanoClock) {
		this.permitsPerSecond = permitsPerSecond;
		this.nanoClock = nanoClock;
		this.tokens = permitsPerSecond;
		this.lastRefillNanos = nanoClock.getAsLong();
	}

	/**
	 * Takes one token.
	 * @return false when there is none
	 */
	public synchronized boolean tryAcquire() {
		long now = this.nanoClock.getAsLong();
		double refill = (now - this.lastRefillNanos) * this.permitsPerSecond / NANOS_PER_SECOND;
		this.tokens = Math.min(this.permitsPerSecond, this.tokens + refill);
		this.lastRefillNanos = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
