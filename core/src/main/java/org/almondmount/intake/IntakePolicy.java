package org.almondmount.intake;

import java.time.Duration;

/**
 * Determines how long jobs wait for an unavailable store and when their callers may
 * retry. Immutable.
 * <p>
 * It is designed for outages of some seconds and callers with a timeout of three seconds
 * and a few attempts. Callers that are refused immediately use up their attempts while
 * the store is unavailable, the last one just before it returns; callers that are held
 * until their timeout cannot try another entry. A job therefore waits for a part of its
 * caller's timeout, which leaves most of it for other entries. Only if the rest would be
 * too short for another attempt does the job wait for the whole timeout, because a
 * refusal at that point would certainly fail the call.
 *
 * @param waitShare share of the caller's timeout for which a job that was not sent to the
 * store waits
 * @param finalAttemptMillis remaining time up to which an attempt is the caller's last
 * one
 * @param maxWaiting maximum number of waiting jobs; further jobs would be written so late
 * after the store's return that their callers have timed out
 * @param defaultTimeoutMillis timeout of callers that specify none
 * @param responseMarginMillis part of the caller's timeout reserved for the response to
 * reach it
 * @param retryAfterMillis time after which a caller may retry if its job cannot wait here
 */
public record IntakePolicy(double waitShare, long finalAttemptMillis, int maxWaiting, long defaultTimeoutMillis,
		long responseMarginMillis, long retryAfterMillis) {

	/**
	 * The default policy. At three eighths of the remaining time per attempt, a caller
	 * with a timeout of three seconds makes five attempts, as many as most callers make,
	 * and never spends half of its time at one entry except for the last attempt. The
	 * store accepts about 200 jobs per second, so 400 jobs are stored within two seconds
	 * of its return. A response reaches the caller within a few milliseconds, on a busy
	 * VM within 80.
	 */
	public static final IntakePolicy DEFAULT = new IntakePolicy(3.0 / 8, 600, 400, 3_000, 80, 1_000);

	public IntakePolicy {
		if (waitShare < 0 || waitShare > 1) {
			throw new IllegalArgumentException("waitShare is " + waitShare + "; give 0 to 1");
		}
	}

	/**
	 * The time until which a job waits.
	 * @param arrivedMillis the time of its arrival
	 * @param timeoutMillis the caller's timeout
	 * @param mayBeStored whether the job was sent to the store and may have been stored;
	 * no other entry would know more, so the job waits for the caller's whole timeout
	 * @return the time at which the wait ends, on the same clock
	 */
	public long waitDeadline(long arrivedMillis, long timeoutMillis, boolean mayBeStored) {
		long usableMillis = Math.max(0, timeoutMillis - this.responseMarginMillis);
		boolean waitsFullTimeout = mayBeStored || timeoutMillis <= this.finalAttemptMillis;
		return arrivedMillis
				+ (waitsFullTimeout ? usableMillis : Math.min(usableMillis, (long) (timeoutMillis * this.waitShare)));
	}

	/**
	 * The delay after which a caller may retry. A caller whose job waited here retries
	 * immediately: the next entry queues the job again, so it is queued when the store
	 * returns. A caller that was refused by a full queue retries later, unless its
	 * timeout would have passed by then.
	 * @param reason the reason for the refusal
	 * @param remainingMillis the remaining time of the caller
	 * @return the delay from now
	 */
	public Duration retryAfter(IntakeRefusal reason, long remainingMillis) {
		boolean retryFitsTimeout = this.retryAfterMillis + this.responseMarginMillis < remainingMillis;
		return (retryFitsTimeout && !reason.hasWaited()) ? Duration.ofMillis(this.retryAfterMillis) : Duration.ZERO;
	}

}
