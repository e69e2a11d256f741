package org.almondmount.workflow;

import java.util.List;

/**
 * What the process beside a worker tells of it. Immutable.
 *
 * @param target the name of that process
 * @param worker what the worker says of itself
 * @param epoch the highest epoch that the worker obeys
 * @param running what runs
 * @param ended what ended and was not acknowledged
 * @param crashed what was at work in former lives that ended without notice; told for a
 * while, so that the next holder hears of it too
 */
public record WorkerReport(String target, WorkerDescription worker, long epoch, List<Running> running,
		List<Ended> ended, List<Crashed> crashed) {

	public WorkerReport {
		running = List.copyOf(running);
		ended = List.copyOf(ended);
		crashed = List.copyOf(crashed);
	}

	public WorkerReport(String target, WorkerDescription worker, long epoch, List<Running> running, List<Ended> ended) {
		this(target, worker, epoch, running, ended, List.of());
	}

	/**
	 * A run that is there.
	 *
	 * @param task the task
	 * @param run the run's number
	 * @param checkpoint its last checkpoint, or empty
	 * @param progressPercent how far it is
	 */
	public record Running(TaskId task, int run, String checkpoint, int progressPercent) {
	}

	/**
	 * A run that ended.
	 *
	 * @param sequence counts the ends of one life of the worker
	 * @param task the task
	 * @param run the run's number
	 * @param outcome how it ended
	 * @param checkpoint its last checkpoint, or empty
	 */
	public record Ended(long sequence, TaskId task, int run, RunOutcome outcome, String checkpoint) {
	}

	/**
	 * A run that was at work when its worker ended without notice.
	 *
	 * @param incarnation the life of the worker that ended
	 * @param task the task
	 * @param run the run's number
	 * @param observedRunMillis how long it was at work at least, in milliseconds: from
	 * the answer to its start to the worker's last answer
	 */
	public record Crashed(WorkerIncarnation incarnation, TaskId task, int run, long observedRunMillis) {
	}

}
