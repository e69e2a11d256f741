package org.almondmount.workflow.impl;

import java.util.List;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;

/**
 * What is placed at once: one task, or all tasks of a gang. Immutable, made anew for each
 * round of placing.
 *
 * @param queue the queue of its job
 * @param step its step
 * @param tasks its tasks
 * @param dueMillis since when it could have run, in milliseconds since 1970
 * @param guaranteed whether it belongs to its customer's guarantee
 */
record WorkUnit(JobQueue queue, StepState step, List<TaskState> tasks, long dueMillis, boolean guaranteed) {

	/**
	 * By when it has to start to be in time.
	 * @return milliseconds since 1970, as far as its estimates go
	 */
	long latestStartMillis() {
		double chain = chainMillis(this.step);
		double objective = this.queue.stretch() * chain + this.queue.latencyObjectiveMillis();
		return this.dueMillis + (long) (objective - chain);
	}

	/**
	 * Whether it can still be in time.
	 * @param wallMillis milliseconds since 1970
	 * @return whether it can, as far as its estimates go
	 */
	boolean canBeInTime(long wallMillis) {
		return wallMillis <= latestStartMillis();
	}

	private static double chainMillis(StepState step) {
		double longest = 0;
		for (int earlier : step.spec().after()) {
			longest = Math.max(longest, chainMillis(step.job().step(step.occurrence(), earlier)));
		}
		return longest + step.spec().estimateMillis();
	}

	TaskState first() {
		return this.tasks.get(0);
	}

	boolean gang() {
		return this.step.spec().gang();
	}

	ResourceAmount demand() {
		return this.step.spec().demand();
	}

	/**
	 * Whether it runs fast only within one rack.
	 * @return whether it does
	 */
	boolean wantsOneRack() {
		return gang() && this.tasks.size() > 1 && this.step.spec().placement().sameRack();
	}

}
