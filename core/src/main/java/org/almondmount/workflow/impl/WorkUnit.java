package org.almondmount.workflow.impl;

import java.util.List;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;

/**
 * The tasks that are placed together: one task, or all tasks of a gang. Immutable;
 * created for each placement round.
 *
 * @param queue the queue of its job
 * @param step its step
 * @param tasks its tasks
 * @param workers the workers that may run it
 * @param deadline whether its step can meet the job's objective
 * @param guaranteed whether it is covered by its customer's guarantee
 * @param isolation the isolation that it needs
 */
record WorkUnit(JobQueue queue, StepState step, List<TaskState> tasks, List<Worker> workers, DeadlineEstimate deadline,
		boolean guaranteed, IsolationLevel isolation) {

	private static final double HALF = 0.5;

	WorkUnit withTasks(List<TaskState> others) {
		return new WorkUnit(this.queue, this.step, others, this.workers, this.deadline, this.guaranteed,
				this.isolation);
	}

	WorkUnit withWorkers(List<Worker> others) {
		return new WorkUnit(this.queue, this.step, this.tasks, others, this.deadline, this.guaranteed, this.isolation);
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
	 * Whether at least half of the workers that may run the unit are in use, by the
	 * resource that is used most.
	 * @return whether half of their capacity is allocated
	 */
	boolean isHalfOfWorkersUsed() {
		ResourceAmount total = ResourceAmount.NONE;
		ResourceAmount free = ResourceAmount.NONE;
		for (Worker worker : this.workers) {
			total = total.plus(worker.capacity());
			free = free.plus(worker.free());
		}
		return total.minus(free).dominantShareOf(total) >= HALF;
	}

	/**
	 * Whether the unit runs fast only within one rack.
	 * @return whether it is a gang that prefers one rack
	 */
	boolean prefersOneRack() {
		return gang() && this.tasks.size() > 1 && this.step.spec().placement().sameRack();
	}

}
