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
 * Divides the blame for a worker crash among the steps whose tasks were running on the
 * worker. Stateless.
 * <p>
 * A task that crashes its worker usually does so soon after its start, so younger runs
 * receive more of the blame. Tasks of one step behave alike, so each of them is assigned
 * the full blame of the step.
 */
final class CrashAttribution {

	/**
	 * Age in milliseconds at which the weight of a run is half of its weight at the
	 * start.
	 */
	private static final double HALF_WEIGHT_AGE_MILLIS = 500;

	private static final int MAX_PERCENT = 100;

	private CrashAttribution() {
	}

	/**
	 * Attributes the crashes of one or more worker incarnations.
	 * @param runs the runs that were running when their worker crashed
	 * @return the crash of each task
	 */
	static List<TaskCrash> attribute(List<Crashed> runs) {
		Map<WorkerIncarnation, Map<StepOfJob, Double>> weights = new HashMap<>();
		for (Crashed run : runs) {
			weights.computeIfAbsent(run.incarnation(), (life) -> new HashMap<>())
				.merge(StepOfJob.of(run.task()), weight(run), Math::max);
		}
		List<TaskCrash> crashes = new ArrayList<>(runs.size());
		for (Crashed run : runs) {
			int percent = blamePercent(weights.get(run.incarnation()), StepOfJob.of(run.task()));
			crashes.add(new TaskCrash(run.task(),
					new Crash(run.run(), run.incarnation(), true, run.observedRunMillis(), percent)));
		}
		return crashes;
	}

	private static double weight(Crashed run) {
		return 1 / (run.observedRunMillis() + HALF_WEIGHT_AGE_MILLIS);
	}

	private static int blamePercent(Map<StepOfJob, Double> weights, StepOfJob step) {
		double totalWeight = weights.values().stream().mapToDouble(Double::doubleValue).sum();
		return (int) Math.round(MAX_PERCENT * weights.get(step) / totalWeight);
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
	 * A task and a worker crash during one of its runs.
	 */
	record TaskCrash(TaskId task, Crash crash) {
	}

}
