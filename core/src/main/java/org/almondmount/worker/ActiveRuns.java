package org.almondmount.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * The active runs of the worker's current incarnation, according to the worker's answers.
 * Mutable; owned by the worker manager.
 */
final class ActiveRuns {

	private final Map<RunKey, Long> startedAt = new LinkedHashMap<>();

	/**
	 * Records that the worker has started a run; repeated calls change nothing.
	 * @param task the task
	 * @param run the run's number
	 * @param now the monotonic clock in milliseconds
	 */
	void recordStart(TaskId task, int run, long now) {
		this.startedAt.putIfAbsent(new RunKey(task, run), now);
	}

	void recordEnd(TaskId task, int run) {
		this.startedAt.remove(new RunKey(task, run));
	}

	/**
	 * Removes all runs because the incarnation has ended.
	 * @param incarnation that incarnation
	 * @param lastAnswerAt when the worker last answered in it, by the monotonic clock
	 * @return the runs that had not ended
	 */
	List<WorkerReport.Crashed> removeAll(WorkerIncarnation incarnation, long lastAnswerAt) {
		List<WorkerReport.Crashed> runs = new ArrayList<>();
		this.startedAt.forEach((key, began) -> runs
			.add(new WorkerReport.Crashed(incarnation, key.task, key.run, Math.max(0, lastAnswerAt - began))));
		this.startedAt.clear();
		return runs;
	}

	/**
	 * A run of a task.
	 */
	private record RunKey(TaskId task, int run) {
	}

}
