package org.almondmount.jobs;

import java.util.List;

import org.almondmount.model.Configuration;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;

/**
 * Everything that the job scheduler is told. Events are immutable; times are milliseconds
 * of the driver's monotonic clock and are passed beside the event.
 */
public sealed interface JobEvent {

	/** The accepted configuration, whole; a lower revision than the last is ignored. */
	record ConfigurationChanged(Configuration configuration) implements JobEvent {
	}

	/** A worker announced itself, for the first time or again. */
	record WorkerJoined(WorkerInfo worker) implements JobEvent {
	}

	/** A worker takes no new work and will be gone. */
	record WorkerLeaving(WorkerId worker) implements JobEvent {
	}

	/** A worker is silent beyond the heartbeat timeout. */
	record WorkerLost(WorkerId worker) implements JobEvent {
	}

	/**
	 * A job that the caller may already have been told is accepted, or is about to be.
	 */
	record JobSubmitted(JobId job, JobSpec spec) implements JobEvent {
	}

	/**
	 * A job read back from the table when this entry became the holder of the lease.
	 *
	 * @param lastAttempt the last committed attempt, 0 if none
	 * @param placement where that attempt was placed, empty if it is not running
	 * @param hasCheckpoint whether a checkpoint is in the object store
	 */
	record JobRecovered(JobId job, JobSpec spec, int lastAttempt, List<Assignment> placement, boolean mayHaveRun,
			boolean hasCheckpoint) implements JobEvent {
	}

	/** The owner or an operator wants the job gone. */
	record JobCancelled(JobId job) implements JobEvent {
	}

	/** The table took the placement: members may be prepared. */
	record PlacementCommitted(Attempt attempt) implements JobEvent {
	}

	/** The table did not take the placement, for certain. */
	record PlacementRejected(Attempt attempt) implements JobEvent {
	}

	/** A worker holds room for the member under a short lease. */
	record MemberPrepared(Attempt attempt, int member) implements JobEvent {
	}

	/** A worker will not hold the member; nothing of it ran. */
	record MemberRefused(Attempt attempt, int member, String reason) implements JobEvent {
	}

	/** A member's task runs. */
	record MemberStarted(Attempt attempt, int member) implements JobEvent {
	}

	/** A member's checkpoint is in the object store. */
	record MemberCheckpointed(Attempt attempt, int member) implements JobEvent {
	}

	/** A member's task is over. */
	record MemberEnded(Attempt attempt, int member, JobOutcome outcome) implements JobEvent {
	}

	/** What a member really uses, some seconds ago. */
	record MemberUsage(Attempt attempt, int member, Resources used) implements JobEvent {
	}

	/** The moment asked for by {@link JobCommand.WakeAt}, or any regular tick. */
	record Tick() implements JobEvent {
	}

	/**
	 * Whether new work may start: false once the holder's view of zones is older than the
	 * freshness limit, or it is not sure of its lease.
	 */
	record StartsAllowed(boolean allowed) implements JobEvent {
	}

}
