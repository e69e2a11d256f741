package org.almondmount.services.util;

import java.util.function.LongSupplier;

/**
 * A rate limiter based on a token bucket. Thread-safe.
 * <p>
 * The platform's table accepts a few hundred writes per second in total. A burst above
 * this limit causes refusals and timeouts for all processes, so each process limits its
 * own rate.
 */
public final class RateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double permitsPerSecond;

	private final LongSupplier nanoClock;

	private double tokens;

	private long lastRefillNanos;

	/**
	 * Creates a limiter with a full bucket.
	 * @param permitsPerSecond the rate in permits per second, also the maximum burst
	 * @param nanoClock a monotonic clock in nanoseconds
	 */
	public RateLimiter(int permitsPerSecond, LongSupplier nanoClock) {
		this.permitsPerSecond = permitsPerSecond;
		this.nanoClock = nanoClock;
		this.tokens = permitsPerSecond;
		this.lastRefillNanos = nanoClock.getAsLong();
	}

	/**
	 * Takes one token if available.
	 * @return whether a token was available
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
