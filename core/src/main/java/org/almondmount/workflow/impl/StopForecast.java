package org.almondmount.workflow.impl;

import java.util.Optional;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.preemption.StopEffect;

/**
 * Predicts what it means to the callers of running jobs if their runs are stopped for a
 * unit. Created for one search.
 */
final class StopForecast {

	private final SchedulerState state;

	private final WorkUnit unit;

	StopForecast(SchedulerState state, WorkUnit unit) {
		this.state = state;
		this.unit = unit;
	}

	/**
	 * Predicts the effect of stopping a run and restarting it after the unit has ended.
	 * @param run the run, of a single task or of any member of a gang
	 * @return the effect
	 */
	StopEffect effectOf(Run run) {
		StepState step = run.task().step();
		Optional<JobQueue> queue = this.state.queueOf(step.job());
		if (queue.isEmpty()) {
			return StopEffect.DELAYED;
		}
		long remainingMillis = run.remainingMillis(this.state.steadyMillis());
		long restartMillis = this.state.policy().stopTimeoutMillis() + this.unit.step().expectedMillis()
				+ repeatedMillis(step, remainingMillis);
		Timeliness ifLeft = timeliness(queue.get(), step, remainingMillis);
		Timeliness ifStopped = timeliness(queue.get(), step, restartMillis);
		return StopEffect.of(!ifLeft.waitsBehindAll(), ifLeft == Timeliness.IN_TIME, ifStopped == Timeliness.IN_TIME);
	}

	private long repeatedMillis(StepState step, long remainingMillis) {
		return step.spec().savesCheckpoints() ? remainingMillis + this.state.policy().checkpointing().restoreMillis()
				: step.expectedMillis();
	}

	// A step is judged by its start, so the start is chosen from which it would end at
	// the expected time.
	private Timeliness timeliness(JobQueue queue, StepState step, long endsInMillis) {
		long startMillis = this.state.wallMillis() + endsInMillis - step.expectedMillis();
		return DeadlineEstimate.of(startMillis, queue, step, PendingUnits.dueMillis(step), this.unit.workers())
			.timeliness();
	}

}
