package org.almondmount.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerLife;
import org.almondmount.workflow.WorkerReport;

/**
 * The runs that are at work in the present life of a worker, by what the worker answered.
 * Mutable; owned by the keeper.
 */
final class ActiveRuns {

	private final Map<RunKey, Long> startedAt = new LinkedHashMap<>();

	/**
	 * Takes note of a run that the worker has begun; a repeat changes nothing.
	 * @param task the task
	 * @param run the run's number
	 * @param now the steady clock in milliseconds
	 */
	void recordStart(TaskId task, int run, long now) {
		this.startedAt.putIfAbsent(new RunKey(task, run), now);
	}

	void recordEnd(TaskId task, int run) {
		this.startedAt.remove(new RunKey(task, run));
	}

	/**
	 * Forgets all runs: the life is over.
	 * @param incarnation that life
	 * @param lastAnswerAt when the worker last answered in it, by the steady clock
	 * @return the runs that had not ended
	 */
	List<WorkerReport.Crashed> removeAll(WorkerLife incarnation, long lastAnswerAt) {
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
