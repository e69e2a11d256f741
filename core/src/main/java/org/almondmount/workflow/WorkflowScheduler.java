package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;

/**
 * The entrance to the decisions about workflows. Deterministic; not thread-safe: one duty
 * owns it.
 */
public interface WorkflowScheduler {

	/**
	 * Takes one event.
	 * @param now the driver's clocks
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	List<WorkflowCommand> handle(ClockReading now, WorkflowEvent event);

	/**
	 * Where a job stands, as it is kept.
	 * @param job the job
	 * @return its phase, or empty for a job that is not known here
	 */
	Optional<JobPhase> phase(String job);

	/**
	 * Why a job was given up.
	 * @param job the job
	 * @return the reason and its remedy, or empty where it was not or is not known here
	 */
	Optional<String> failureMessage(String job);

	/**
	 * Jobs of a queue none of whose tasks has started.
	 * @param queue the queue's name
	 * @return a count
	 */
	int queuedJobCount(String queue);

	/**
	 * The driver's clocks at one moment.
	 *
	 * @param steadyMillis a clock that never jumps
	 * @param wallMillis milliseconds since 1970, for due times alone
	 */
	record ClockReading(long steadyMillis, long wallMillis) {
	}

}
