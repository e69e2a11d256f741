package org.almondmount.gang;

import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.Ending;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;

/**
 * Everything that a worker's member keeper asks its driver to do. Reports go to every
 * connected entry; the lease holder uses them.
 */
public sealed interface MemberCommand {

	/** Report: held. */
	record ReportPrepared(Attempt attempt, int member) implements MemberCommand {
	}

	/** Report: not held, and nothing of it ran here. */
	record ReportRefused(Attempt attempt, int member, String reason) implements MemberCommand {
	}

	/** Start the task on the worker under a lease that has to be renewed. */
	record StartTask(Attempt attempt, int member, JobSpec spec, boolean fromCheckpoint) implements MemberCommand {
	}

	/** Renew the worker's lease for the task. */
	record RenewTask(Attempt attempt, int member) implements MemberCommand {
	}

	/** Have the worker checkpoint and then end the task. */
	record SuspendTask(Attempt attempt, int member) implements MemberCommand {
	}

	/** Have the worker end the task now. */
	record StopTask(Attempt attempt, int member) implements MemberCommand {
	}

	/** Have the worker slow the task down. */
	record ThrottleTask(Attempt attempt, int member) implements MemberCommand {
	}

	/** Report: it runs. */
	record ReportStarted(Attempt attempt, int member) implements MemberCommand {
	}

	/** Report: checkpointed. */
	record ReportCheckpointed(Attempt attempt, int member) implements MemberCommand {
	}

	/**
	 * Report: over. Repeated until an entry acknowledges it by forgetting the attempt.
	 */
	record ReportEnded(Attempt attempt, int member, Ending outcome) implements MemberCommand {
	}

	/** Report: usage. */
	record ReportUsage(Attempt attempt, int member, Resources used) implements MemberCommand {
	}

	/** Every task here is over: the process may end. */
	record Drained() implements MemberCommand {
	}

}
