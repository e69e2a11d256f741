package org.almondmount.workflow.impl;

import java.util.HashSet;
import java.util.Set;

/**
 * Whether a worker is to blame for what fails there. Mutable; owned by the scheduler.
 * <p>
 * A worker that fails all it starts looks free and would draw one job after the other,
 * each losing one of its few attempts. Failures of two different jobs with no success in
 * between speak against the worker, those of a single job rather against the job: then
 * the worker gets nothing for a while, and after it one try decides.
 */
final class WorkerHealth {

	/** Different jobs that have to fail in a row; one job alone may be bad itself. */
	private static final int MIN_FAILED_JOBS = 2;

	/**
	 * First pause of a suspicious worker, in milliseconds; it doubles up to eightfold.
	 */
	private static final long FIRST_PAUSE_MILLIS = 2_000;

	private static final int MAX_DOUBLINGS = 2;

	private final Set<String> failedJobs = new HashSet<>();

	private long pausedUntilMillis = Long.MIN_VALUE;

	private int pauses;

	void recordSuccess() {
		this.failedJobs.clear();
		this.pauses = 0;
	}

	/**
	 * Takes note of a failure.
	 * @param now the steady clock
	 * @param job the job whose task failed
	 * @return whether the worker is paused from now on
	 */
	boolean recordFailure(long now, String job) {
		this.failedJobs.add(job);
		if (this.failedJobs.size() < MIN_FAILED_JOBS) {
			return false;
		}
		this.pausedUntilMillis = now + (FIRST_PAUSE_MILLIS << Math.min(this.pauses, MAX_DOUBLINGS));
		this.pauses++;
		return true;
	}

	// For reasons that are not the worker's fault, such as a refusal for want of room.
	void pauseUntil(long millis) {
		this.pausedUntilMillis = Math.max(this.pausedUntilMillis, millis);
	}

	boolean usable(long now) {
		return now >= this.pausedUntilMillis;
	}

	/**
	 * How much speaks against the worker.
	 * @return 0 for nothing, more for more
	 */
	int failedJobCount() {
		return this.failedJobs.size();
	}

}
