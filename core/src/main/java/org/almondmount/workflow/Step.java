package org.almondmount.workflow;

import java.util.List;

import org.almondmount.model.InvalidValueException;

/**
 * A step of a workflow: a number of identical tasks. Immutable.
 *
 * @param taskCount the number of tasks
 * @param demand the resources that each task needs
 * @param estimateMillis a rough estimate of a task's run time, 0 if there is none
 * @param dependencies the numbers of the steps whose tasks must all be done before this
 * step starts
 * @param savesCheckpoints whether the tasks save their progress
 * @param gangScheduled whether the tasks only make progress if all of them run at the
 * same time
 * @param placement the placement constraints and preferences of the tasks
 * @param duplicatesAllowed whether two copies of one task may run at the same time
 * @param service the attributes of a long-running step; {@link ServiceSpec#NONE} for work
 * that ends
 */
public record Step(int taskCount, ResourceAmount demand, long estimateMillis, List<Integer> dependencies,
		boolean savesCheckpoints, boolean gangScheduled, Placement placement, boolean duplicatesAllowed,
		ServiceSpec service) {

	public Step {
		if (taskCount < 1) {
			throw new InvalidValueException("count", "is " + taskCount + "; give at least 1");
		}
		dependencies = List.copyOf(dependencies);
	}

	/**
	 * Returns the resources that each task occupies on a worker. Tasks that only use idle
	 * CPU time occupy no CPU.
	 * @return the resources to allocate
	 */
	public ResourceAmount allocation() {
		return this.service.idleCpuOnly() ? this.demand.withoutCpu() : this.demand;
	}

	/**
	 * Returns whether it matters which other tasks share a worker with tasks of this
	 * step.
	 * @return whether there can be steps that this one conflicts with
	 */
	public boolean isColocationSensitive() {
		return this.service.idleCpuOnly() || this.service.latencyTargetMillis() > 0;
	}

	/**
	 * Returns whether tasks of this step must not share a worker with tasks of another
	 * step. Tasks that use idle CPU time slow others down by an amount that is not known
	 * in advance, so they are kept apart from tasks with a latency target.
	 * @param other the other step
	 * @return whether the two steps must be kept apart
	 */
	public boolean conflictsWith(Step other) {
		return this.service.idleCpuOnly() && other.service.latencyTargetMillis() > 0
				|| other.service.idleCpuOnly() && this.service.latencyTargetMillis() > 0;
	}

	/**
	 * Returns whether the tasks run until the job is cancelled.
	 * @return whether the step is long-running
	 */
	public boolean longRunning() {
		return this.service.longRunning();
	}

	/**
	 * The placement constraints and preferences of tasks.
	 *
	 * @param requiredLabel a label that the worker must have, or empty
	 * @param dataRack the rack of the input data, near which tasks run fast, or empty
	 * @param sameRack whether a gang only runs fast within one rack
	 * @param maxPerWorker the maximum number of tasks of one occurrence on one worker, 0
	 * for no limit
	 */
	public record Placement(String requiredLabel, String dataRack, boolean sameRack, int maxPerWorker) {

		/** No constraints or preferences. */
		public static final Placement ANYWHERE = new Placement("", "", false, 0);

	}

	/**
	 * The attributes of a long-running step, and of steps that share a worker with such
	 * steps.
	 *
	 * @param longRunning whether the tasks run until the job is cancelled
	 * @param image the image that the tasks run; tasks of the same image behave alike
	 * @param latencyTargetMillis the upper bound for the tasks' response times, 0 for
	 * none
	 * @param idleCpuOnly whether the tasks only use CPU time that others leave idle
	 * @param maxUnavailable the maximum number of tasks that the scheduler may make
	 * unavailable at the same time, 0 for no limit
	 */
	public record ServiceSpec(boolean longRunning, String image, long latencyTargetMillis, boolean idleCpuOnly,
			int maxUnavailable) {

		/** The attributes of a step that ends by itself. */
		public static final ServiceSpec NONE = new ServiceSpec(false, "", 0, false, 0);

	}

}
