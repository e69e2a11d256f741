package org.almondmount.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * The runs that are at work in the present life of a worker, by what the worker answered.
 * Mutable; owned by the keeper.
 */
final class BegunRuns {

	private final Map<Key, Long> since = new LinkedHashMap<>();

	/**
	 * Takes note of a run that the worker has begun; a repeat changes nothing.
	 * @param task the task
	 * @param run the run's number
	 * @param now the steady clock in milliseconds
	 */
	void begun(TaskId task, int run, long now) {
		this.since.putIfAbsent(new Key(task, run), now);
	}

	void ended(TaskId task, int run) {
		this.since.remove(new Key(task, run));
	}

	/**
	 * Forgets all runs: the life is over.
	 * @param life that life
	 * @param lastAnswer when the worker last answered in it, by the steady clock
	 * @return the runs that had not ended
	 */
	List<WorkerReport.Crashed> takeAll(WorkerIncarnation life, long lastAnswer) {
		List<WorkerReport.Crashed> runs = new ArrayList<>();
		this.since.forEach((key, began) -> runs
			.add(new WorkerReport.Crashed(life, key.task, key.run, Math.max(0, lastAnswer - began))));
		this.since.clear();
		return runs;
	}

	/**
	 * A run of a task.
	 */
	private record Key(TaskId task, int run) {
	}

}
