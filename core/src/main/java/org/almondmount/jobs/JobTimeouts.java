package org.almondmount.jobs;

import java.time.Duration;

import org.almondmount.model.InvalidValueException;

/**
 * The times that bound each step of the job scheduler. Immutable.
 *
 * @param commit how long the table may take over a placement
 * @param prepare how long the members may take to be held
 * @param start how long the members may take to report that they run
 * @param abort how long the room of an aborted member stays booked without an answer
 * @param checkpoint how long a reclaimed member may take over its checkpoint before it is
 * stopped
 * @param rejoin how long after a change of the lease holder a worker with recovered
 * members may take to announce itself
 * @param zoneSettle how long a zone has to be out before its work is moved, so that a
 * zone that flaps moves nothing
 * @param zoneGrace how long work may run on in a zone that is out; the option
 * {@code zone-grace} of the configuration goes before it
 * @param retryPause the pause after a failure, doubled with each further one
 */
public record JobTimeouts(Duration commit, Duration prepare, Duration start, Duration abort, Duration checkpoint,
		Duration rejoin, Duration zoneSettle, Duration zoneGrace, Duration retryPause) {

	/** What is used unless something else is asked for. */
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
			throw new InvalidValueException(field, "is " + duration + "; give a time above zero");
		}
	}

}
