package org.almondmount.workflow.attempt;

import java.util.Set;

/**
 * A task or a gang that failed and is to be retried. Immutable. All times are those of
 * the steady clock, in milliseconds.
 *
 * @param failures the number of its counted failures
 * @param maxAttempts the number of failures after which its job fails
 * @param failedOn the identifiers of the workers on which it failed
 * @param failedAtMillis when it failed last
 * @param latestStartMillis the latest start for its job to be in time
 * @param mayWait whether its start may be delayed for the sake of better workers
 */
public record FailedUnit(int failures, int maxAttempts, Set<String> failedOn, long failedAtMillis,
		long latestStartMillis, boolean mayWait) {

	/**
	 * Maximum time since the failure for which a unit waits for better workers, in
	 * milliseconds. A job that has no run for three seconds although capacity is free
	 * looks lost to its caller; one of them is left for the start.
	 */
	private static final long MAX_HOLD_MILLIS = 2_000;

	/**
	 * The same limit for the wait for proven workers if the job was late already when it
	 * failed, in milliseconds: the longer it waits, the fewer callers still use the
	 * result.
	 */
	private static final long MAX_LATE_HOLD_MILLIS = 1_000;

	public FailedUnit {
		failedOn = Set.copyOf(failedOn);
	}

	boolean lastAttempt() {
		return this.failures + 1 >= this.maxAttempts;
	}

	/**
	 * Returns until when the last attempt waits for proven workers.
	 * @return the end of the wait
	 */
	long holdUntilMillis() {
		if (!this.mayWait) {
			return this.failedAtMillis;
		}
		if (this.latestStartMillis <= this.failedAtMillis) {
			return this.failedAtMillis + MAX_LATE_HOLD_MILLIS;
		}
		return Math.min(this.latestStartMillis, this.failedAtMillis + MAX_HOLD_MILLIS);
	}

	/**
	 * Returns until when the unit rather waits for other workers than to be retried where
	 * it failed. An attempt that is lost costs its caller more than a moment's delay.
	 * @return the end of the wait
	 */
	long avoidUntilMillis() {
		return this.mayWait ? this.failedAtMillis + MAX_HOLD_MILLIS : this.failedAtMillis;
	}

}
