package org.almondmount.intake;

import java.time.Duration;

/**
 * Limits the work that one connection causes, so that many small pieces do not keep a
 * thread from other connections. Not thread-safe.
 * <p>
 * Work is counted in parts that have to be decoded, such as header fields and chunks. It
 * is not measured as time, because a thread that has to share its core would charge the
 * pause to whichever connection it was serving. A connection may use its burst at once
 * and a steady rate from then on. What exceeds that waits for its turn; it is not
 * refused.
 */
public final class ProcessingAllowance {

	/** Parts of some ordinary calls. */
	private static final long BURST_PARTS = 64;

	/** Parts per second, as of a hundred ordinary calls. */
	private static final long EARNED_PARTS_PER_SECOND = 2_000;

	private static final long NANOS_PER_PART = Duration.ofSeconds(1).toNanos() / EARNED_PARTS_PER_SECOND;

	private long usedParts;

	private long lastNanos;

	private boolean started;

	/**
	 * Charges work.
	 * @param nowNanos the time of a steady clock
	 * @param parts the number of parts since the last charge
	 * @return whether the allowance is used up, so that the connection has to wait for
	 * its turn
	 */
	public boolean charge(long nowNanos, long parts) {
		if (!this.started) {
			this.started = true;
			this.lastNanos = nowNanos;
		}
		long earnedParts = (nowNanos - this.lastNanos) / NANOS_PER_PART;
		this.lastNanos += earnedParts * NANOS_PER_PART;
		this.usedParts = Math.max(0, this.usedParts - earnedParts) + parts;
		return this.usedParts > BURST_PARTS;
	}

	/**
	 * Returns the work that the connection has not earned yet. Of several connections
	 * that wait, the one with the least goes first, so that an ordinary call does not
	 * wait behind those that keep the thread busy.
	 * @return the number of parts
	 */
	public long usedParts() {
		return this.usedParts;
	}

}
