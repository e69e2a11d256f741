package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.Map;

/**
 * What is lost with a run, all members of its gang included. Mutable; made for one
 * search, in which each run is asked for many times.
 */
final class WorkLossEstimator {

	private final long now;

	private final long restoreMillis;

	private final Map<StepState, Double> lossByGang = new HashMap<>();

	/**
	 * Reckons with a moment.
	 * @param now the steady clock
	 * @param restoreMillis how long a task takes to go on from a checkpoint
	 */
	WorkLossEstimator(long now, long restoreMillis) {
		this.now = now;
		this.restoreMillis = restoreMillis;
	}

	/**
	 * What would be lost if a run was stopped.
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
	 * What would be lost with a run itself, whatever becomes of its gang.
	 * @param run the run
	 * @return core-seconds
	 */
	double lossOfRun(Run run) {
		return RunWorkSummary.lossIfStopped(run, this.now, this.restoreMillis);
	}

	/**
	 * What would be lost on a worker besides a step's own tasks if it crashed.
	 * @param worker the worker
	 * @param step the step
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
