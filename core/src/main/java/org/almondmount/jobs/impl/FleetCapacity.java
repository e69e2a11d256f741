package org.almondmount.jobs.impl;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.model.GangShape;
import org.almondmount.model.Resources;

/**
 * The capacity of the empty fleet, by the distinct capacities of its workers. Valid until
 * a worker joins or is lost. Not thread-safe.
 */
final class FleetCapacity {

	private final List<RackNode> racks;

	private final Map<GangShape, Integer> maxMembers = new HashMap<>();

	private Resources largestPerDimension = Resources.NONE;

	private boolean empty = true;

	private final java.util.Set<Resources> distinctCapacities = new java.util.LinkedHashSet<>();

	FleetCapacity(List<RackNode> racks) {
		this.racks = racks;
		for (RackNode rack : racks) {
			for (WorkerNode worker : rack.workers) {
				if (worker.present) {
					this.distinctCapacities.add(worker.capacity());
					this.empty = false;
				}
			}
		}
		for (Resources capacity : this.distinctCapacities) {
			this.largestPerDimension = new Resources(
					Math.max(this.largestPerDimension.accelerators(), capacity.accelerators()),
					Math.max(this.largestPerDimension.cores(), capacity.cores()),
					Math.max(this.largestPerDimension.memoryMb(), capacity.memoryMb()));
		}
	}

	boolean isEmpty() {
		return this.empty;
	}

	/**
	 * Names the dimension in which a request exceeds every worker.
	 * @param need the resources needed on one worker
	 * @return a sentence, empty if some worker has enough
	 */
	Optional<String> explainExceededDimension(Resources need) {
		for (Resources capacity : this.distinctCapacities) {
			if (need.fitsIn(capacity)) {
				return Optional.empty();
			}
		}
		if (need.accelerators() > this.largestPerDimension.accelerators()) {
			return Optional
				.of(exceededMessage("accelerators", need.accelerators(), this.largestPerDimension.accelerators()));
		}
		if (need.cores() > this.largestPerDimension.cores()) {
			return Optional.of(exceededMessage("cores", need.cores(), this.largestPerDimension.cores()));
		}
		if (need.memoryMb() > this.largestPerDimension.memoryMb()) {
			return Optional.of(exceededMessage("memory", need.memoryMb(), this.largestPerDimension.memoryMb()));
		}
		return Optional.of("accelerators, cores and memory: no single worker has enough of all three");
	}

	/**
	 * The largest number of members of a gang that fit on the empty fleet together.
	 * @param shape the gang
	 * @return the number of members
	 */
	int maxMembers(GangShape shape) {
		return this.maxMembers.computeIfAbsent(shape, this::computeMaxMembers);
	}

	private int computeMaxMembers(GangShape shape) {
		int total = 0;
		int best = 0;
		Map<ZoneNode, Integer> zones = new HashMap<>();
		for (RackNode rack : this.racks) {
			int inRack = 0;
			for (WorkerNode worker : rack.workers) {
				int count = worker.present ? countFitting(shape.perMember(), worker.capacity()) : 0;
				inRack = saturateToInt(inRack + (long) count);
				best = Math.max(best, count);
			}
			total = saturateToInt(total + (long) inRack);
			zones.merge(rack.zone, inRack, (one, other) -> saturateToInt(one + (long) other));
			if (shape.adjacency() == org.almondmount.model.Adjacency.RACK) {
				best = Math.max(best, inRack);
			}
		}
		return switch (shape.adjacency()) {
			case WORKER, RACK -> best;
			case ZONE -> zones.values().stream().mapToInt(Integer::intValue).max().orElse(0);
			case ANY -> total;
		};
	}

	static int countFitting(Resources need, Resources capacity) {
		int count = GangShape.MAX_MEMBERS;
		count = (need.accelerators() != 0) ? Math.min(count, capacity.accelerators() / need.accelerators()) : count;
		count = (need.cores() != 0) ? Math.min(count, capacity.cores() / need.cores()) : count;
		return (need.memoryMb() != 0) ? Math.min(count, capacity.memoryMb() / need.memoryMb()) : count;
	}

	private static int saturateToInt(long count) {
		return (int) Math.min(count, Integer.MAX_VALUE);
	}

	private static String exceededMessage(String dimension, int need, int largest) {
		return dimension + ": " + need + " are asked for on one worker, the largest has " + largest;
	}

}
