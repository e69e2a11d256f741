package org.almondmount.workflow.preemption;

import java.util.List;

import org.almondmount.workflow.ResourceAmount;

/**
 * A unit that does not fit, with the workers that may run it and the runs that may be
 * stopped for it. Immutable.
 *
 * @param taskCount the number of its tasks, all of which need room
 * @param allocation the resources of each task
 * @param workers the workers
 * @param groups the runs that may be stopped
 */
public record RoomRequest(int taskCount, ResourceAmount allocation, List<WorkerRoom> workers,
		List<VictimGroup> groups) {

	public RoomRequest {
		workers = List.copyOf(workers);
		groups = List.copyOf(groups);
	}

}
