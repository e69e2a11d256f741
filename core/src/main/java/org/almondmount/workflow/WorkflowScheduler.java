package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;

/**
 * Schedules the tasks of workflows. Deterministic; not thread-safe, so only one thread
 * may use an instance.
 */
public interface WorkflowScheduler {

	/**
	 * Handles one event.
	 * @param now the time of the event
	 * @param event the event
	 * @return the commands to carry out, in order
	 */
	List<WorkflowCommand> handle(ClockReading now, WorkflowEvent event);

	/**
	 * Returns the stored phase of a job.
	 * @param job the identifier of the job
	 * @return the phase, or empty for an unknown job
	 */
	Optional<JobPhase> phase(String job);

	/**
	 * Returns why a job failed.
	 * @param job the identifier of the job
	 * @return the reason and the remedy, or empty if the job has not failed or is unknown
	 */
	Optional<String> failureMessage(String job);

	/**
	 * Returns the number of jobs of a queue of which no task has started. Jobs whose own
	 * queue was removed count to the queue that is declared at its path.
	 * @param queue the name of the queue
	 * @return the number of jobs
	 */
	int queuedJobCount(String queue);

	/**
	 * The readings of the driver's clocks at one moment.
	 *
	 * @param steadyMillis the time on a monotonic clock, in milliseconds
	 * @param wallMillis the wall-clock time in milliseconds since 1970, used for due
	 * times only
	 */
	record ClockReading(long steadyMillis, long wallMillis) {
	}

}
