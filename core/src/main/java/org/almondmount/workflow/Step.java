package org.almondmount.workflow;

import java.util.List;

import org.almondmount.model.InvalidValueException;

/**
 * One step of a workflow: tasks that are alike. Immutable.
 *
 * @param taskCount how many tasks
 * @param demand what each task needs
 * @param estimateMillis a rough guess of a task's run time, 0 where there is none
 * @param dependencies numbers of the steps whose tasks must all be done before
 * @param savesCheckpoints whether its tasks save their progress
 * @param gangScheduled whether its tasks work only all together
 * @param placement where its tasks may and should run
 * @param duplicatesAllowed whether two copies of one task may run at the same time
 * @param service how a step that lasts behaves; {@link ServiceSpec#NONE} for work that
 * ends
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
	 * What each task takes of a worker's room. Tasks that only take processor time that
	 * others leave take none of it away.
	 * @return the room
	 */
	public ResourceAmount allocation() {
		return this.service.idleCpuOnly() ? this.demand.withoutCpu() : this.demand;
	}

	/**
	 * Whether it matters to the step's tasks what runs beside them.
	 * @return whether there are steps from which they have to stay apart
	 */
	public boolean isColocationSensitive() {
		return this.service.idleCpuOnly() || this.service.latencyTargetMillis() > 0;
	}

	/**
	 * Whether the step's tasks must not stand beside those of another step. What fills
	 * idle time slows others down by amounts that nobody knows beforehand, so it is kept
	 * away from what has a bound on its response times.
	 * @param other the other step
	 * @return whether they must stay apart
	 */
	public boolean conflictsWith(Step other) {
		return this.service.idleCpuOnly() && other.service.latencyTargetMillis() > 0
				|| other.service.idleCpuOnly() && this.service.latencyTargetMillis() > 0;
	}

	/**
	 * Whether the step's tasks run until the job is cancelled.
	 * @return whether they do
	 */
	public boolean longRunning() {
		return this.service.longRunning();
	}

	/**
	 * Where tasks may and should run.
	 *
	 * @param requiredLabel a label that the worker must have, or empty
	 * @param dataRack the rack near which tasks run fast, or empty
	 * @param sameRack whether a gang runs fast only within one rack
	 * @param maxPerWorker tasks of one occurrence that one worker may run, 0 for any
	 * number
	 */
	public record Placement(String requiredLabel, String dataRack, boolean sameRack, int maxPerWorker) {

		/** Anywhere. */
		public static final Placement ANYWHERE = new Placement("", "", false, 0);

	}

	/**
	 * The terms of a step that lasts, and of what shares a worker with such steps.
	 *
	 * @param longRunning whether the tasks run until the job is cancelled
	 * @param image what the tasks run; tasks of one image behave alike
	 * @param latencyTargetMillis the bound of the tasks' own response times, 0 for none
	 * @param idleCpuOnly whether the tasks only take processor time that others leave
	 * @param maxUnavailable tasks that may be away at once by the scheduler's doing
	 */
	public record ServiceSpec(boolean longRunning, String image, long latencyTargetMillis, boolean idleCpuOnly,
			int maxUnavailable) {

		/** Work that ends. */
		public static final ServiceSpec NONE = new ServiceSpec(false, "", 0, false, 0);

	}

}
