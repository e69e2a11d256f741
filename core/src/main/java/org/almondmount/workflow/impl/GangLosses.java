package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.Map;

/**
 * What is lost with a run, all members of its gang included. Mutable; made for one
 * search, in which each run is asked for many times.
 */
final class GangLosses {

	private final long now;

	private final long restoreMillis;

	private final Map<StepState, Double> ofGangs = new HashMap<>();

	/**
	 * Reckons with a moment.
	 * @param now the steady clock
	 * @param restoreMillis how long a task takes to go on from a checkpoint
	 */
	GangLosses(long now, long restoreMillis) {
		this.now = now;
		this.restoreMillis = restoreMillis;
	}

	/**
	 * What would be lost if a run was stopped.
	 * @param run the run
	 * @return core-seconds
	 */
	double of(Run run) {
		StepState step = run.task().step();
		if (!step.spec().gangScheduled()) {
			return alone(run);
		}
		return this.ofGangs.computeIfAbsent(step, this::ofGang);
	}

	/**
	 * What would be lost with a run itself, whatever becomes of its gang.
	 * @param run the run
	 * @return core-seconds
	 */
	double alone(Run run) {
		return RunWork.lossIfStopped(run, this.now, this.restoreMillis);
	}

	/**
	 * What would be lost on a worker besides a step's own tasks if it crashed.
	 * @param worker the worker
	 * @param step the step
	 * @return core-seconds
	 */
	double besides(Worker worker, StepState step) {
		double loss = 0;
		for (Run run : worker.runs()) {
			loss += (run.task().step() != step) ? of(run) : 0;
		}
		return loss;
	}

	private double ofGang(StepState step) {
		double loss = 0;
		for (TaskState task : step.tasks()) {
			for (Run member : task.openRuns()) {
				loss += alone(member);
			}
		}
		return loss;
	}

}
