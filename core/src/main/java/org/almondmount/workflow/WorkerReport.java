package org.almondmount.workflow;

import java.util.List;

/**
 * The state of a worker as reported by the target beside it. Immutable.
 *
 * @param target the name of the target
 * @param worker the properties of the worker
 * @param epoch the highest epoch that the worker has seen; it ignores commands of lower
 * epochs
 * @param running the runs that are active
 * @param ended the runs that have ended and are not acknowledged yet
 * @param crashed the runs that were active in earlier incarnations that ended without
 * notice; they are reported for a while so that the next holder learns of them too
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
	 * An active run.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param checkpoint the last checkpoint of the run, or empty
	 * @param progressPercent the progress of the run, in percent
	 */
	public record Running(TaskId task, int run, String checkpoint, int progressPercent) {
	}

	/**
	 * A run that ended.
	 *
	 * @param sequence the sequence number of this end within the worker's incarnation
	 * @param task the task
	 * @param run the number of the run
	 * @param outcome how the run ended
	 * @param checkpoint the last checkpoint of the run, or empty
	 */
	public record Ended(long sequence, TaskId task, int run, RunOutcome outcome, String checkpoint) {
	}

	/**
	 * A run that was active when its worker ended without notice.
	 *
	 * @param incarnation the incarnation of the worker that ended
	 * @param task the task
	 * @param run the number of the run
	 * @param observedRunMillis a lower bound of how long the run was active, in
	 * milliseconds: from the answer to its start command to the worker's last answer
	 */
	public record Crashed(WorkerIncarnation incarnation, TaskId task, int run, long observedRunMillis) {
	}

}
