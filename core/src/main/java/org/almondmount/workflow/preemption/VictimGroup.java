package org.almondmount.workflow.preemption;

import java.util.Map;

import org.almondmount.workflow.ResourceAmount;

/**
 * Runs that are stopped together: the members of a gang, or a single run. Immutable.
 *
 * @param held the resources that they hold, by the index of the worker
 * @param lostCoreSeconds the work that is lost with them
 * @param step a number that the groups of one step share
 * @param lateCoreSeconds the work of the step whose result becomes late; counts once for
 * all stopped groups of the step
 */
public record VictimGroup(Map<Integer, ResourceAmount> held, double lostCoreSeconds, int step, double lateCoreSeconds) {

	public VictimGroup {
		held = Map.copyOf(held);
	}

	double loss() {
		return this.lostCoreSeconds + this.lateCoreSeconds;
	}

	double tasksHeld(ResourceAmount allocation) {
		double tasks = 0;
		for (ResourceAmount amount : this.held.values()) {
			tasks += amount.dominantShareOf(allocation);
		}
		return tasks;
	}

}
