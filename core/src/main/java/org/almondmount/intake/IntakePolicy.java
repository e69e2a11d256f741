package org.almondmount.intake;

import java.time.Duration;

/**
 * How long jobs wait for a store that does not take them, and when their callers may come
 * back. Immutable.
 * <p>
 * It answers the load of an outage of some seconds: callers who give three seconds and a
 * few tries. Refused at once they spend their tries on a store that is away, the last one
 * a moment before it is back; held until their time is over they can't go elsewhere. So a
 * job waits for a part of its caller's time, and the caller keeps the greater part for
 * other entries. Only where what would be left is too short for another try does it wait
 * to the end: refused then, the caller would be lost for certain.
 *
 * @param waitShare part of a caller's time for which a job that was sent nowhere waits
 * @param finalAttemptMillis a caller with no more time left than that makes its last try
 * @param maxWaiting jobs that wait at once; more would be written so late after the
 * store's return that their callers are gone
 * @param defaultTimeoutMillis a caller's time where it does not say
 * @param responseMarginMillis kept back of a caller's time for the way of the answer
 * @param retryAfterMillis when a caller may come back that can't wait here
 */
public record IntakePolicy(double waitShare, long finalAttemptMillis, int maxWaiting, long defaultTimeoutMillis,
		long responseMarginMillis, long retryAfterMillis) {

	/**
	 * With three eighths of its time for each, a caller of three seconds makes five
	 * tries, as many as most make, and never spends half of its time at one entry but for
	 * the last try. The store takes about 200 jobs a second, so 400 are kept within two
	 * seconds of its return. An answer is back within a few milliseconds, on a busy VM
	 * within 80.
	 */
	public static final IntakePolicy DEFAULT = new IntakePolicy(3.0 / 8, 600, 400, 3_000, 80, 1_000);

	public IntakePolicy {
		if (waitShare < 0 || waitShare > 1) {
			throw new IllegalArgumentException("waitShare is " + waitShare + "; give 0 to 1");
		}
	}

	/**
	 * Until when a job waits.
	 * @param arrivedMillis when it came
	 * @param timeoutMillis the time that its caller gives
	 * @param mayBeStored whether it was sent to the store and may be kept: no other entry
	 * could say more, so that only the end of the caller's time ends the wait
	 * @return a time of the same clock
	 */
	public long waitDeadline(long arrivedMillis, long timeoutMillis, boolean mayBeStored) {
		long usableMillis = Math.max(0, timeoutMillis - this.responseMarginMillis);
		boolean waitsFullTimeout = mayBeStored || timeoutMillis <= this.finalAttemptMillis;
		return arrivedMillis
				+ (waitsFullTimeout ? usableMillis : Math.min(usableMillis, (long) (timeoutMillis * this.waitShare)));
	}

	/**
	 * When a caller may come back. One that waited here does so at once: the next entry
	 * lets it wait again, so that it is in line when the store returns. One that found no
	 * place in the line comes later, unless its time would be over by then.
	 * @param reason why it is refused
	 * @param remainingMillis what is left of its time
	 * @return the time from now
	 */
	public Duration retryAfter(IntakeRefusal reason, long remainingMillis) {
		boolean retryFitsTimeout = this.retryAfterMillis + this.responseMarginMillis < remainingMillis;
		return (retryFitsTimeout && !reason.hasWaited()) ? Duration.ofMillis(this.retryAfterMillis) : Duration.ZERO;
	}

}
