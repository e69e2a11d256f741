package org.almondmount.gang;

import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;

/**
 * The commands that the member manager of a worker returns to its driver. Reports go to
 * every connected entry; the lease holder uses them.
 */
public sealed interface MemberCommand {

	/** Reports that capacity for the member is held. */
	record ReportPrepared(Attempt attempt, int member) implements MemberCommand {
	}

	/** Reports that the member is not held and that no task of it ran here. */
	record ReportRefused(Attempt attempt, int member, String reason) implements MemberCommand {
	}

	/** Starts the task on the worker under a lease that has to be renewed. */
	record StartTask(Attempt attempt, int member, JobSpec spec, boolean fromCheckpoint) implements MemberCommand {
	}

	/** Renews the worker's lease for the task. */
	record RenewTask(Attempt attempt, int member) implements MemberCommand {
	}

	/** Makes the worker checkpoint and then end the task. */
	record SuspendTask(Attempt attempt, int member) implements MemberCommand {
	}

	/** Makes the worker end the task at once. */
	record StopTask(Attempt attempt, int member) implements MemberCommand {
	}

	/** Makes the worker slow the task down. */
	record ThrottleTask(Attempt attempt, int member) implements MemberCommand {
	}

	/** Reports that the task runs. */
	record ReportStarted(Attempt attempt, int member) implements MemberCommand {
	}

	/** Reports that the task finished a checkpoint. */
	record ReportCheckpointed(Attempt attempt, int member) implements MemberCommand {
	}

	/**
	 * Reports that the task ended. Repeated until an entry acknowledges it with
	 * {@link MemberEvent.EndRecorded}.
	 */
	record ReportEnded(Attempt attempt, int member, JobOutcome outcome) implements MemberCommand {
	}

	/** Reports the resource usage of the task. */
	record ReportUsage(Attempt attempt, int member, Resources used) implements MemberCommand {
	}

	/** Every task on this worker has ended; the process may exit. */
	record Drained() implements MemberCommand {
	}

}
