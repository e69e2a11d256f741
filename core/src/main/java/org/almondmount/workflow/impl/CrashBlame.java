package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.JobRecord.Crash;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport.Crashed;

/**
 * Divides the blame for a crash among the steps that were at work there. Stateless.
 * <p>
 * Tasks that crash their workers mostly do so soon after their start, so the younger a
 * run the more of the blame falls on it. Tasks of one step are alike and share its blame
 * whole.
 */
final class CrashBlame {

	/** An age in milliseconds at which half as much speaks against a run as at once. */
	private static final double HALF_AS_LIKELY_MILLIS = 500;

	private static final int WHOLE = 100;

	private CrashBlame() {
	}

	/**
	 * Judges what crashed with one life or several ones.
	 * @param runs the runs that were at work
	 * @return the crash of each task
	 */
	static List<Found> judge(List<Crashed> runs) {
		Map<WorkerIncarnation, Map<StepOfJob, Double>> weights = new HashMap<>();
		for (Crashed run : runs) {
			weights.computeIfAbsent(run.incarnation(), (life) -> new HashMap<>())
				.merge(StepOfJob.of(run.task()), weight(run), Math::max);
		}
		List<Found> found = new ArrayList<>(runs.size());
		for (Crashed run : runs) {
			int percent = percent(weights.get(run.incarnation()), StepOfJob.of(run.task()));
			found.add(new Found(run.task(),
					new Crash(run.run(), run.incarnation(), true, run.observedRunMillis(), percent)));
		}
		return found;
	}

	private static double weight(Crashed run) {
		return 1 / (run.observedRunMillis() + HALF_AS_LIKELY_MILLIS);
	}

	private static int percent(Map<StepOfJob, Double> weights, StepOfJob step) {
		double all = weights.values().stream().mapToDouble(Double::doubleValue).sum();
		return (int) Math.round(WHOLE * weights.get(step) / all);
	}

	/**
	 * A step of one occurrence of a job.
	 */
	private record StepOfJob(String job, int occurrence, int step) {

		static StepOfJob of(TaskId task) {
			return new StepOfJob(task.job(), task.occurrence(), task.step());
		}

	}

	/**
	 * A task with a crash under it.
	 */
	record Found(TaskId task, Crash crash) {
	}

}
