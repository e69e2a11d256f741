package org.almondmount.worker;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * The active runs of the worker's current incarnation, according to the worker's answers.
 * Mutable; owned by the worker manager.
 */
final class ActiveRuns {

	private final Map<RunKey, Start> starts = new LinkedHashMap<>();

	/**
	 * Records that the worker has started a run; repeated calls change nothing.
	 * @param task the task
	 * @param run the run's number
	 * @param now the monotonic clock in milliseconds
	 * @param lastPoll the number of the last poll that was sent; the answers to later
	 * polls list the run while it is active
	 */
	void recordStart(TaskId task, int run, long now, long lastPoll) {
		this.starts.putIfAbsent(new RunKey(task, run), new Start(now, lastPoll));
	}

	void recordEnd(TaskId task, int run) {
		this.starts.remove(new RunKey(task, run));
	}

	/**
	 * Removes the runs that an answer would list if they were active; their ends may be
	 * missing from a truncated list.
	 * @param pollNumber the number of the answered poll
	 * @param running the active runs according to the answer
	 */
	void removeUnlisted(long pollNumber, List<WorkerReport.Running> running) {
		Set<RunKey> listed = new HashSet<>();
		running.forEach((run) -> listed.add(new RunKey(run.task(), run.run())));
		this.starts.entrySet()
			.removeIf((entry) -> pollNumber > entry.getValue().lastPoll && !listed.contains(entry.getKey()));
	}

	/**
	 * Removes all runs because the incarnation has ended.
	 * @param incarnation that incarnation
	 * @param lastAnswerAt when the worker last answered in it, by the monotonic clock
	 * @return the runs that had not ended
	 */
	List<WorkerReport.Crashed> removeAll(WorkerIncarnation incarnation, long lastAnswerAt) {
		List<WorkerReport.Crashed> runs = new ArrayList<>();
		this.starts.forEach((key, start) -> runs
			.add(new WorkerReport.Crashed(incarnation, key.task, key.run, Math.max(0, lastAnswerAt - start.millis))));
		this.starts.clear();
		return runs;
	}

	/**
	 * A run of a task.
	 */
	private record RunKey(TaskId task, int run) {
	}

	/**
	 * When a run was first known to be active.
	 */
	private record Start(long millis, long lastPoll) {
	}

}
