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
 * other entries.
 *
 * @param waitShare part of a caller's time for which a job that was sent nowhere waits
 * @param mostWaiting jobs that wait at once; more would be written so late after the
 * store's return that their callers are gone
 * @param usualPatienceMillis a caller's time where it does not say
 * @param wayBackMillis kept back of a caller's time for the way of the answer
 * @param comeBackMillis when a refused caller may come back
 */
public record IntakePolicy(double waitShare, int mostWaiting, long usualPatienceMillis, long wayBackMillis,
		long comeBackMillis) {

	/**
	 * A third of the time leaves a caller with three seconds two more tries elsewhere.
	 * The store takes about 200 jobs a second, so 400 are kept within two seconds of its
	 * return.
	 */
	public static final IntakePolicy DEFAULT = new IntakePolicy(1.0 / 3, 400, 3_000, 150, 1_000);

	public IntakePolicy {
		if (waitShare < 0 || waitShare > 1) {
			throw new IllegalArgumentException("waitShare is " + waitShare + "; give 0 to 1");
		}
	}

	/**
	 * Until when a job waits.
	 * @param arrivedMillis when it came
	 * @param patienceMillis the time that its caller gives
	 * @param mayBeKept whether it was sent to the store and may be kept: no other entry
	 * could say more, so that only the end of the caller's time ends the wait
	 * @return a time of the same clock
	 */
	public long waitsUntil(long arrivedMillis, long patienceMillis, boolean mayBeKept) {
		long answerable = Math.max(0, patienceMillis - this.wayBackMillis);
		return arrivedMillis
				+ (mayBeKept ? answerable : Math.min(answerable, (long) (patienceMillis * this.waitShare)));
	}

	/**
	 * When a caller may come back. A caller whose time would be over by then is told to
	 * come at once: the next entry lets it wait again.
	 * @param patienceLeftMillis what is left of its time
	 * @return the time from now
	 */
	public Duration comeBackAfter(long patienceLeftMillis) {
		boolean inTime = this.comeBackMillis + this.wayBackMillis < patienceLeftMillis;
		return inTime ? Duration.ofMillis(this.comeBackMillis) : Duration.ZERO;
	}

}
