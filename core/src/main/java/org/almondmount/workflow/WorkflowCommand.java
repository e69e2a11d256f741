package org.almondmount.workflow;

import java.util.List;

/**
 * Everything that the workflow scheduler asks its driver to do, in order.
 */
public sealed interface WorkflowCommand {

	/**
	 * Keep these records in one transaction that holds only under the term's epoch;
	 * answer with {@link WorkflowEvent.Persisted}. At most one is outstanding.
	 */
	record Persist(long sequence, List<JobRecord> records) implements WorkflowCommand {
	}

	/**
	 * Begin a run.
	 *
	 * @param target the process beside the worker
	 * @param incarnation the life of the worker that is meant
	 * @param task the task
	 * @param run the run's number
	 * @param program what to run
	 * @param checkpoint where to go on, or empty
	 * @param capacity the worker's capacity by which it was chosen; a worker that has
	 * less by now must not begin the run
	 */
	record StartRun(String target, WorkerIncarnation incarnation, TaskId task, int run, String program,
			String checkpoint, ResourceAmount capacity) implements WorkflowCommand {
	}

	/** End a run, or make sure that it never begins. */
	record StopRun(String target, WorkerIncarnation incarnation, TaskId task, int run) implements WorkflowCommand {
	}

	/** Ends up to that number are kept and may be forgotten. */
	record AcknowledgeEnds(String target, WorkerIncarnation incarnation, long upToSequence) implements WorkflowCommand {
	}

	/**
	 * Nobody asks for these jobs any more: remove all that is kept of them and answer
	 * with {@link WorkflowEvent.JobsDeleted}.
	 */
	record DeleteJobs(List<String> jobs) implements WorkflowCommand {
	}

	/**
	 * Count work of a run that is over.
	 *
	 * @param outcome what became of it
	 * @param coreSeconds how much it was
	 */
	record AccountWork(WorkOutcome outcome, double coreSeconds) implements WorkflowCommand {
	}

	/** Count a job that is given up. */
	record CountFailure(JobFailure failure) implements WorkflowCommand {
	}

	/** The cancelling of a job is kept. */
	record CancellationPersisted(String job) implements WorkflowCommand {
	}

	/**
	 * A decision that an administrator may want to read later.
	 *
	 * @param event the event's name, a constant
	 * @param keysAndValues alternating keys and values
	 */
	record LogDecision(String event, List<Object> keysAndValues) implements WorkflowCommand {

		public static LogDecision of(String event, Object... keysAndValues) {
			return new LogDecision(event, List.of(keysAndValues));
		}

	}

}
