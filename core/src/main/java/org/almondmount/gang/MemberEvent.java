package org.almondmount.gang;

import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.Ending;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.ZoneState;

/**
 * Everything that a worker's member keeper is told.
 */
public sealed interface MemberEvent {

	/** The holder asks for room, under the epoch of its lease. */
	record PrepareReceived(long epoch, Attempt attempt, int member, JobSpec spec,
			boolean fromCheckpoint) implements MemberEvent {
	}

	/** Every member is held. */
	record StartReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/** Release it, whether held, started or not yet heard of. */
	record AbortReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/** Checkpoint, then end. */
	record SuspendReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/** End now. */
	record StopReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/** Slow down. */
	record ThrottleReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/**
	 * Some entry hears every member of the attempt running.
	 *
	 * @param attempt the attempt
	 * @param heartbeatAgeMillis how long ago the question was sent to which this is the
	 * answer; the gang lease counts from there, so that an answer that was held back
	 * extends nothing
	 */
	record GangConfirmedRunning(Attempt attempt, long heartbeatAgeMillis) implements MemberEvent {
	}

	/** The worker reports that the task runs. */
	record TaskRunning(Attempt attempt, int member) implements MemberEvent {
	}

	/** The worker reports a finished checkpoint. */
	record TaskCheckpointed(Attempt attempt, int member) implements MemberEvent {
	}

	/** The worker reports the end of the task. */
	record TaskEnded(Attempt attempt, int member, Ending outcome) implements MemberEvent {
	}

	/** The worker reports what the task used a while ago. */
	record TaskUsage(Attempt attempt, int member, Resources used) implements MemberEvent {
	}

	/**
	 * The zone's state at a configuration revision, heard from an entry just now.
	 *
	 * @param state the state
	 * @param revision the revision at which it was declared
	 * @param validForMillis for how much longer it may be used to start work; 0 when it
	 * is too old already
	 */
	record ZoneStateReceived(ZoneState state, long revision, long validForMillis) implements MemberEvent {
	}

	/** An entry has recorded how the attempt ended: reports about it can cease. */
	record EndRecorded(Attempt attempt) implements MemberEvent {
	}

	/** The process shuts down or its VM leaves. */
	record DrainRequested() implements MemberEvent {
	}

	/** A regular tick. */
	record Tick() implements MemberEvent {
	}

}
