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
 * @param workers those that may run it
 * @param deadline how its step stands against the job's objective
 * @param guaranteed whether it belongs to its customer's guarantee
 * @param isolation what company it may have
 */
record WorkUnit(JobQueue queue, StepState step, List<TaskState> tasks, List<Worker> workers, DeadlineEstimate deadline,
		boolean guaranteed, IsolationLevel isolation) {

	WorkUnit withTasks(List<TaskState> others) {
		return new WorkUnit(this.queue, this.step, others, this.workers, this.deadline, this.guaranteed,
				this.isolation);
	}

	TaskState firstTask() {
		return this.tasks.get(0);
	}

	boolean gang() {
		return this.step.spec().gangScheduled();
	}

	ResourceAmount allocation() {
		return this.step.spec().allocation();
	}

	/**
	 * Whether it runs fast only within one rack.
	 * @return whether it does
	 */
	boolean prefersOneRack() {
		return gang() && this.tasks.size() > 1 && this.step.spec().placement().sameRack();
	}

}
