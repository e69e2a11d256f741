package org.almondmount.jobs;

import java.time.Duration;

import org.almondmount.model.InvalidValueException;

/**
 * The timeouts of the steps of the job scheduler. Immutable.
 *
 * @param commit the maximum time for the table to commit a placement
 * @param prepare the maximum time for all members to be prepared
 * @param start the maximum time for all members to report that they run
 * @param abort how long the capacity of an aborted member stays allocated if the worker
 * does not answer
 * @param checkpoint the maximum time for the checkpoint of a reclaimed member before it
 * is stopped
 * @param rejoin the maximum time after a change of the lease holder for a worker with
 * recovered members to register
 * @param zoneSettle how long a zone must be out of service before its work is moved, so
 * that a flapping zone moves no work
 * @param zoneGrace how long work may keep running in a zone that is out of service;
 * overridden by the option {@code zone-grace} of the configuration
 * @param retryPause the pause before a retry, doubled with each further failure
 */
public record JobTimeouts(Duration commit, Duration prepare, Duration start, Duration abort, Duration checkpoint,
		Duration rejoin, Duration zoneSettle, Duration zoneGrace, Duration retryPause) {

	/** The default timeouts. */
	public static final JobTimeouts DEFAULT = new JobTimeouts(Duration.ofSeconds(30), Duration.ofSeconds(3),
			Duration.ofSeconds(10), Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(10),
			Duration.ofSeconds(2), Duration.ofSeconds(30), Duration.ofSeconds(1));

	public JobTimeouts {
		requirePositive("commit", commit);
		requirePositive("prepare", prepare);
		requirePositive("start", start);
		requirePositive("abort", abort);
		requirePositive("checkpoint", checkpoint);
		requirePositive("rejoin", rejoin);
		requirePositive("zoneSettle", zoneSettle);
		requirePositive("zoneGrace", zoneGrace);
		requirePositive("retryPause", retryPause);
	}

	public JobTimeouts withCheckpoint(Duration timeout) {
		return new JobTimeouts(this.commit, this.prepare, this.start, this.abort, timeout, this.rejoin, this.zoneSettle,
				this.zoneGrace, this.retryPause);
	}

	public JobTimeouts withZoneSettle(Duration delay) {
		return new JobTimeouts(this.commit, this.prepare, this.start, this.abort, this.checkpoint, this.rejoin, delay,
				this.zoneGrace, this.retryPause);
	}

	private static void requirePositive(String field, Duration duration) {
		if (duration.isNegative() || duration.isZero()) {
			throw new InvalidValueException(field, "is " + duration + "; give a duration above zero");
		}
	}

}
