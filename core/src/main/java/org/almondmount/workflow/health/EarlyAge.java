package org.almondmount.workflow.health;

/**
 * The age up to which the failure of a run speaks for its worker. A faulty worker fails
 * what it starts right after the start, whereas a task that fails by its own fault has
 * usually worked for a while.
 */
public final class EarlyAge {

	/**
	 * Maximum in milliseconds. Faulty workers fail a run less than 100 ms after its
	 * start, but the end may be reported late: with the answer to a poll, which may take
	 * 1,000 ms.
	 */
	private static final long MAX_MILLIS = 500;

	/** Minimum in milliseconds, for ends that are reported a moment late. */
	private static final long MIN_MILLIS = 100;

	/** Early part of the expected run time. */
	private static final double SHARE_OF_RUN_TIME = 0.2;

	private EarlyAge() {
	}

	/**
	 * Returns the early age of a run.
	 * @param expectedMillis the expected run time in milliseconds, 0 if it is not known
	 * @return milliseconds of work
	 */
	public static long millis(long expectedMillis) {
		if (expectedMillis == 0) {
			return MAX_MILLIS;
		}
		long share = Math.round(expectedMillis * SHARE_OF_RUN_TIME);
		return Math.min(MAX_MILLIS, Math.max(MIN_MILLIS, share));
	}

}
