package org.almondmount.workflow;

import java.util.List;

/**
 * The commands of the workflow scheduler, which its driver carries out in order.
 */
public sealed interface WorkflowCommand {

	/**
	 * Stores records in one transaction that commits only under the epoch of the term.
	 * The driver answers with {@link WorkflowEvent.Persisted}. At most one such command
	 * is outstanding.
	 */
	record Persist(long sequence, List<JobRecord> records) implements WorkflowCommand {
	}

	/**
	 * Starts a run.
	 *
	 * @param target the name of the target beside the worker
	 * @param incarnation the incarnation of the worker that has to run it
	 * @param task the task
	 * @param run the number of the run
	 * @param program the program to run
	 * @param checkpoint the checkpoint to resume from, or empty
	 * @param capacity the capacity of the worker that the placement was based on; a
	 * worker that has less by now must not start the run
	 */
	record StartRun(String target, WorkerIncarnation incarnation, TaskId task, int run, String program,
			String checkpoint, ResourceAmount capacity) implements WorkflowCommand {
	}

	/** Stops a run, or ensures that it never starts. */
	record StopRun(String target, WorkerIncarnation incarnation, TaskId task, int run) implements WorkflowCommand {
	}

	/**
	 * Acknowledges the ends up to a sequence number: they are stored, and the worker may
	 * discard them.
	 */
	record AcknowledgeEnds(String target, WorkerIncarnation incarnation, long upToSequence) implements WorkflowCommand {
	}

	/**
	 * Deletes all stored data of jobs whose status no caller can query any more. The
	 * driver answers with {@link WorkflowEvent.JobsDeleted}.
	 */
	record DeleteJobs(List<String> jobs) implements WorkflowCommand {
	}

	/**
	 * Accounts for the work of a run that has ended.
	 *
	 * @param outcome the category of the work
	 * @param coreSeconds the amount of work, in core-seconds
	 */
	record AccountWork(WorkOutcome outcome, double coreSeconds) implements WorkflowCommand {
	}

	/** Counts a failed job. */
	record CountFailure(JobFailure failure) implements WorkflowCommand {
	}

	/** Counts a decision under load or failure. */
	record CountDecision(LoadDecision decision) implements WorkflowCommand {
	}

	/** Confirms that the cancellation of a job is stored. */
	record CancellationPersisted(String job) implements WorkflowCommand {
	}

	/**
	 * Logs a decision for administrators.
	 *
	 * @param event the constant name of the log event
	 * @param keysAndValues alternating keys and values
	 */
	record LogDecision(String event, List<Object> keysAndValues) implements WorkflowCommand {

		public static LogDecision of(String event, Object... keysAndValues) {
			return new LogDecision(event, List.of(keysAndValues));
		}

	}

}
