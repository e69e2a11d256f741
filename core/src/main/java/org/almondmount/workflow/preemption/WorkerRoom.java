package org.almondmount.workflow.preemption;

import org.almondmount.workflow.ResourceAmount;

/**
 * A worker on which room may be made for a unit. Immutable.
 *
 * @param free the resources that are free or held by runs that are being stopped already
 * @param maxTasks the maximum number of tasks of the unit on this worker
 */
public record WorkerRoom(ResourceAmount free, long maxTasks) {

	WorkerRoom plus(ResourceAmount amount) {
		return new WorkerRoom(this.free.plus(amount), this.maxTasks);
	}

	WorkerRoom minus(ResourceAmount amount) {
		return new WorkerRoom(this.free.minus(amount), this.maxTasks);
	}

	long countFitting(ResourceAmount allocation) {
		return allocation.fitsIn(this.free) ? Math.min(this.maxTasks, this.free.countFitting(allocation)) : 0;
	}

}
