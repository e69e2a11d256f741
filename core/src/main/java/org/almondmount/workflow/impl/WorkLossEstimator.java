package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the work that is lost with a run, including all members of its gang. Mutable;
 * created for one search, in which the same run is queried many times.
 */
final class WorkLossEstimator {

	private final long now;

	private final long restoreMillis;

	private final Map<StepState, Double> lossByGang = new HashMap<>();

	/**
	 * Creates an estimator for one point in time.
	 * @param now the steady clock
	 * @param restoreMillis the time that a task takes to resume from a checkpoint
	 */
	WorkLossEstimator(long now, long restoreMillis) {
		this.now = now;
		this.restoreMillis = restoreMillis;
	}

	/**
	 * Estimates the loss if a run was stopped, including its gang.
	 * @param run the run
	 * @return core-seconds
	 */
	double lossWithGang(Run run) {
		StepState step = run.task().step();
		if (!step.spec().gangScheduled()) {
			return lossOfRun(run);
		}
		return this.lossByGang.computeIfAbsent(step, this::lossOfGang);
	}

	/**
	 * Estimates the loss of a run itself, regardless of its gang.
	 * @param run the run
	 * @return core-seconds
	 */
	double lossOfRun(Run run) {
		return RunWorkSummary.lossIfStopped(run, this.now, this.restoreMillis);
	}

	/**
	 * Estimates the loss of all other steps if a worker crashed.
	 * @param worker the worker
	 * @param step the step whose own tasks are not counted
	 * @return core-seconds
	 */
	double lossOfOtherSteps(Worker worker, StepState step) {
		double loss = 0;
		for (Run run : worker.runs()) {
			loss += (run.task().step() != step) ? lossWithGang(run) : 0;
		}
		return loss;
	}

	private double lossOfGang(StepState step) {
		double loss = 0;
		for (TaskState task : step.tasks()) {
			for (Run member : task.openRuns()) {
				loss += lossOfRun(member);
			}
		}
		return loss;
	}

}
