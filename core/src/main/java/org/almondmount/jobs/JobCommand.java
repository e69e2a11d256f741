package org.almondmount.jobs;

import java.util.List;

import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Refusal;
import org.almondmount.model.WorkerId;

/**
 * A command of the job scheduler to its driver. Commands must be executed in the order in
 * which they are returned.
 */
public sealed interface JobCommand {

	/** The job is admitted: persist it, then confirm it to the caller. */
	record Accept(JobId job, JobSpec spec) implements JobCommand {
	}

	/** The job is not admitted, and the scheduler holds no state for it. */
	record Refuse(JobId job, Refusal refusal) implements JobCommand {
	}

	/**
	 * Write the placement, conditional on the epoch. The driver reports the result as
	 * {@link JobEvent.PlacementCommitted} or {@link JobEvent.PlacementRejected}.
	 */
	record CommitPlacement(Attempt attempt, JobSpec spec, List<Assignment> placement) implements JobCommand {
	}

	/** Ask a worker to reserve capacity for the member. */
	record Prepare(Attempt attempt, int member, WorkerId worker, JobSpec spec,
			boolean fromCheckpoint) implements JobCommand {
	}

	/** Start the member, after all members of the gang are prepared. */
	record Start(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** Release the member, whether it is prepared, started or unknown on the worker. */
	record Abort(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** Take a checkpoint of the member, then end it as {@link JobOutcome#SUSPENDED}. */
	record Suspend(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** Stop the member immediately, without a checkpoint. */
	record Stop(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** Limit the member to its declared resources. */
	record Throttle(Attempt attempt, int member, WorkerId worker) implements JobCommand {
	}

	/** The job is queued again; the attempt is over and its reports are ignored. */
	record Requeue(Attempt attempt, String reason) implements JobCommand {
	}

	/** The job has its final outcome: persist it, then notify waiting callers. */
	record Finish(JobId job, int lastAttempt, JobOutcome outcome, String reason) implements JobCommand {
	}

	/** Send {@link JobEvent.Tick} no later than at this time. */
	record WakeAt(long atMillis) implements JobCommand {
	}

	/** Record a decision in the history for operators. */
	record LogDecision(String subject, String message) implements JobCommand {
	}

}
