package org.almondmount.workflow.impl;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks whether failures are the fault of a worker. Mutable; owned by the scheduler.
 * <p>
 * A worker that fails every run looks free and would attract one job after the other,
 * each of which would lose one of its few attempts. Failures of two different jobs
 * without a success in between indicate a faulty worker, whereas failures of a single job
 * rather indicate a faulty job. A worker that looks faulty is paused for a while, and a
 * single attempt after the pause decides whether it is paused again.
 */
final class WorkerHealth {

	/**
	 * Minimum number of different failed jobs in a row; a single job may be faulty
	 * itself.
	 */
	private static final int MIN_FAILED_JOBS = 2;

	/**
	 * First pause of a worker that looks faulty, in milliseconds; it doubles with each
	 * further pause, at most {@link #MAX_DOUBLINGS} times.
	 */
	private static final long FIRST_PAUSE_MILLIS = 2_000;

	private static final int MAX_DOUBLINGS = 2;

	private final Set<String> failedJobs = new HashSet<>();

	private long pausedUntilMillis = Long.MIN_VALUE;

	private int pauses;

	private boolean proven;

	void recordSuccess() {
		this.failedJobs.clear();
		this.pauses = 0;
		this.proven = true;
	}

	/**
	 * Records a failure.
	 * @param now the steady clock
	 * @param job the job whose task failed
	 * @return whether the worker is paused from now on
	 */
	boolean recordFailure(long now, String job) {
		this.failedJobs.add(job);
		this.proven = false;
		if (this.failedJobs.size() < MIN_FAILED_JOBS) {
			return false;
		}
		this.pausedUntilMillis = now + (FIRST_PAUSE_MILLIS << Math.min(this.pauses, MAX_DOUBLINGS));
		this.pauses++;
		return true;
	}

	// Used for reasons that are not the worker's fault, such as a refusal for lack of
	// capacity.
	void pauseUntil(long millis) {
		this.pausedUntilMillis = Math.max(this.pausedUntilMillis, millis);
	}

	boolean usable(long now) {
		return now >= this.pausedUntilMillis;
	}

	/**
	 * Whether the worker has recently shown that it completes what it starts.
	 * @param now the steady clock
	 * @return whether a run succeeded there after the last failure
	 */
	boolean isProven(long now) {
		return this.proven && usable(now);
	}

	/**
	 * Returns the number of different jobs that failed since the last success.
	 * @return the number of jobs
	 */
	int failedJobCount() {
		return this.failedJobs.size();
	}

}
