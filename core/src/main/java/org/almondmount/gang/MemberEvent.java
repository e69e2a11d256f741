package org.almondmount.gang;

import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.ZoneState;

/**
 * The events that the member manager of a worker handles.
 */
public sealed interface MemberEvent {

	/** The holder asks to hold capacity for a member, under the epoch of its lease. */
	record PrepareReceived(long epoch, Attempt attempt, int member, JobSpec spec,
			boolean fromCheckpoint) implements MemberEvent {
	}

	/** The holder orders the start; every member of the gang is held. */
	record StartReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/**
	 * The holder orders the release of a member, whether it is held, started or not yet
	 * known here.
	 */
	record AbortReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/** The holder orders the task to checkpoint and then end. */
	record SuspendReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/** The holder orders the task to end at once. */
	record StopReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/** The holder orders the task to be slowed down. */
	record ThrottleReceived(long epoch, Attempt attempt, int member) implements MemberEvent {
	}

	/**
	 * An entry has received heartbeats that report every member of the attempt as
	 * running.
	 *
	 * @param attempt the attempt
	 * @param heartbeatAgeMillis how long ago the heartbeat was sent that the entry
	 * answers; the gang lease counts from then, so that a delayed answer does not extend
	 * it
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
	record TaskEnded(Attempt attempt, int member, JobOutcome outcome) implements MemberEvent {
	}

	/** The worker reports what the task used recently. */
	record TaskUsage(Attempt attempt, int member, Resources used) implements MemberEvent {
	}

	/**
	 * The state of the zone at a configuration revision, just received from an entry.
	 *
	 * @param state the state
	 * @param revision the revision at which it was declared
	 * @param validForMillis for how much longer it may be used to start tasks; 0 if it is
	 * already too old
	 */
	record ZoneStateReceived(ZoneState state, long revision, long validForMillis) implements MemberEvent {
	}

	/** An entry has recorded how the attempt ended; it need not be reported any more. */
	record EndRecorded(Attempt attempt) implements MemberEvent {
	}

	/** The process shuts down or its VM is about to go away. */
	record DrainRequested() implements MemberEvent {
	}

	/** A regular tick. */
	record Tick() implements MemberEvent {
	}

}
