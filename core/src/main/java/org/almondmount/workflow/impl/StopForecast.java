package org.almondmount.workflow.impl;

import java.util.List;
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
		return StopEffect.of(isUseful(queue.get(), step, remainingMillis), isInTime(queue.get(), step, remainingMillis),
				isInTime(queue.get(), step, restartMillis));
	}

	private long repeatedMillis(StepState step, long remainingMillis) {
		return step.spec().savesCheckpoints() ? remainingMillis + this.state.policy().checkpointing().restoreMillis()
				: step.expectedMillis();
	}

	private boolean isInTime(JobQueue queue, StepState step, long endsInMillis) {
		return startMillis(step, endsInMillis) <= DeadlineEstimate.latestStart(queue, step,
				PendingUnits.dueMillis(step), 1);
	}

	private boolean isUseful(JobQueue queue, StepState step, long endsInMillis) {
		return isInTime(queue, step, endsInMillis) || !DeadlineEstimate
			.of(startMillis(step, endsInMillis), queue, step, PendingUnits.dueMillis(step), List.of())
			.timeliness()
			.waitsBehindAll();
	}

	// Estimates judge a step by its start, so this is the start from which it would end
	// at the expected time.
	private long startMillis(StepState step, long endsInMillis) {
		return this.state.wallMillis() + endsInMillis - step.expectedMillis();
	}

}
