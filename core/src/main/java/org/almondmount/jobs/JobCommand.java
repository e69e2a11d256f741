package org.almondmount.jobs;

import java.util.List;

import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Refusal;
import org.almondmount.model.WorkerId;

/**
 * Everything that the job scheduler asks its driver to do. Commands are in the order in
 * which they have to be carried out.
 */
public sealed interface JobCommand {

	/** The job is admitted: make it last, then tell the caller. */
	record Accept(JobId job, JobSpec spec) implements JobCommand {
	}

	/** The job is not admitted; nothing of it was kept. */
	record Refuse(JobId job, Refusal refusal) implements JobCommand {
	}

	/**
	 * Write the placement, conditional on the epoch; answer with
	 * {@link JobEvent.PlacementCommitted} or {@link JobEvent.PlacementRejected}.
	 */
	record CommitPlacement(Attempt attempt, JobSpec spec, List<Assignment> placement) implements JobCommand {
	}

	/** Ask a worker to hold room for the member. */
	record Prepare(Attempt attempt, int member, WorkerId worker, JobSpec spec,
			boolean fromCheckpoint) implements JobCommand {
	}

	/** Every member is held: start this one. */
	record Start(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** Release the member whether it is held, started or unknown there. */
	record Abort(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** Take a checkpoint, then end as {@link JobOutcome#SUSPENDED}. */
	record Suspend(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** Stop now, without a checkpoint. */
	record Stop(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** Slow the member down to the declared size. */
	record Throttle(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** The job waits again: the attempt is over and counts for nothing. */
	record Requeue(Attempt attempt, String reason) implements JobCommand {
	}

	/** The job has its final ending: make it last, then tell whoever waits. */
	record Finish(JobId job, int lastAttempt, JobOutcome outcome, String reason) implements JobCommand {
	}

	/** Send {@link JobEvent.Tick} at this time at the latest. */
	record WakeAt(long atMillis) implements JobCommand {
	}

	/** Something that an operator should be able to read in the history. */
	record LogDecision(String subject, String message) implements JobCommand {
	}

}
