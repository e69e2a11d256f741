package org.almondmount.jobs;

import java.util.List;

import org.almondmount.model.Configuration;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;

/**
 * An event that the driver passes to the job scheduler. Events are immutable. Times are
 * milliseconds of the driver's monotonic clock and are passed separately from the event.
 */
public sealed interface JobEvent {

	/** The complete accepted configuration; a revision lower than the last is ignored. */
	record ConfigurationChanged(Configuration configuration) implements JobEvent {
	}

	/** A worker registered, for the first time or again. */
	record WorkerJoined(WorkerInfo worker) implements JobEvent {
	}

	/** A worker is draining: it accepts no new work and will shut down. */
	record WorkerLeaving(WorkerId worker) implements JobEvent {
	}

	/** A worker sent no heartbeat within the heartbeat timeout. */
	record WorkerLost(WorkerId worker) implements JobEvent {
	}

	/**
	 * A submitted job. The caller has already been told that it is accepted, or is about
	 * to be told.
	 */
	record JobSubmitted(JobId job, JobSpec spec) implements JobEvent {
	}

	/**
	 * A job read from the table after this entry became the lease holder.
	 *
	 * @param lastAttempt the last committed attempt, 0 if none
	 * @param placement the placement of that attempt, empty if it is not running
	 * @param hasCheckpoint whether the object store has a checkpoint of the job
	 */
	record JobRecovered(JobId job, JobSpec spec, int lastAttempt, List<Assignment> placement, boolean mayHaveRun,
			boolean hasCheckpoint) implements JobEvent {
	}

	/** The owner or an operator cancelled the job. */
	record JobCancelled(JobId job) implements JobEvent {
	}

	/** The placement is committed to the table; members may be prepared. */
	record PlacementCommitted(Attempt attempt) implements JobEvent {
	}

	/** The placement is definitely not committed to the table. */
	record PlacementRejected(Attempt attempt) implements JobEvent {
	}

	/** A worker reserved capacity for the member under a short lease. */
	record MemberPrepared(Attempt attempt, int member) implements JobEvent {
	}

	/** A worker refused the member; the member never ran. */
	record MemberRefused(Attempt attempt, int member, String reason) implements JobEvent {
	}

	/** A member's task is running. */
	record MemberStarted(Attempt attempt, int member) implements JobEvent {
	}

	/** A member's checkpoint is in the object store. */
	record MemberCheckpointed(Attempt attempt, int member) implements JobEvent {
	}

	/** A member's task has ended. */
	record MemberEnded(Attempt attempt, int member, JobOutcome outcome) implements JobEvent {
	}

	/** The actual resource usage of a member, delayed by some seconds. */
	record MemberUsage(Attempt attempt, int member, Resources used) implements JobEvent {
	}

	/** The time requested by {@link JobCommand.WakeAt} is reached, or a periodic tick. */
	record Tick() implements JobEvent {
	}

	/**
	 * Whether new work may start. False while the holder's view of the zones is older
	 * than the freshness limit, or while the validity of its lease is uncertain.
	 */
	record StartsAllowed(boolean allowed) implements JobEvent {
	}

}
