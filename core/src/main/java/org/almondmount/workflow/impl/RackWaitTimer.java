package org.almondmount.workflow.impl;

/**
 * How long a gang has waited for one rack while it would have fit across racks. Mutable;
 * owned by the scheduler.
 */
final class RackWaitTimer {

	private long waitedMillis;

	private boolean waiting;

	private long reviewedMillis;

	private long nextReviewMillis = Long.MIN_VALUE;

	private boolean reported;

	/**
	 * Whether it is to be decided again if the gang waits.
	 * @param now the steady clock
	 * @return whether the time of the last decision has passed
	 */
	boolean isReviewDue(long now) {
		return now >= this.nextReviewMillis;
	}

	/**
	 * Returns how long the gang has waited, without the time in which it did not fit
	 * across racks either.
	 * @param now the steady clock
	 * @return milliseconds
	 */
	long waitedMillis(long now) {
		return this.waitedMillis + (this.waiting ? now - this.reviewedMillis : 0);
	}

	/**
	 * Records that the gang waits.
	 * @param now the steady clock
	 * @param reviewMillis the time until it is decided again
	 */
	void keepWaiting(long now, long reviewMillis) {
		this.waitedMillis = waitedMillis(now);
		this.waiting = true;
		this.reviewedMillis = now;
		this.nextReviewMillis = now + reviewMillis;
	}

	/**
	 * Records that the gang fits nowhere now.
	 * @param now the steady clock
	 */
	void pause(long now) {
		this.waitedMillis = waitedMillis(now);
		this.waiting = false;
	}

	/**
	 * Forgets the wait once the gang is placed, so that a retry may wait as long again.
	 */
	void reset() {
		this.waitedMillis = 0;
		this.waiting = false;
		this.nextReviewMillis = Long.MIN_VALUE;
	}

	/**
	 * Marks the wait as reported.
	 * @return whether it was not reported before
	 */
	boolean markReported() {
		boolean first = !this.reported;
		this.reported = true;
		return first;
	}

}
