package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.function.Predicate;

import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;
import org.almondmount.model.Resources;

/**
 * Finds workers that a gang could use if borrowers were evicted, and the borrowers whose
 * eviction loses the least work. Not thread-safe.
 */
final class Evictor {

	/** The maximum number of racks that are compared for a gang. */
	private static final int MAX_CANDIDATES = 12;

	/** The maximum number of racks that are considered for a gang. */
	private static final int MAX_RACKS_PER_GANG = 128;

	/** The cost of a checkpoint and of the restart from it, in seconds. */
	private static final double RESTART_COST_SECONDS = 3;

	/**
	 * The cost of evicting work that has not started yet, in seconds: others may have
	 * been evicted for it.
	 */
	private static final double BEFORE_START_COST_SECONDS = 20;

	private static final double CORES_PER_ACCELERATOR = 8;

	private static final Resources ONE_ACCELERATOR = new Resources(1, 0, 0);

	private final SchedulerContext context;

	private final Fleet fleet;

	Evictor(SchedulerContext context, Fleet fleet) {
		this.context = context;
		this.fleet = fleet;
	}

	/**
	 * Finds the workers that can be cleared with the least loss.
	 * @param shape the gang
	 * @param capacityView {@link CapacityView#RECLAIMABLE} for protected work,
	 * {@link CapacityView#EVICTABLE} for work that borrows
	 * @param evictable whether an attempt may be evicted
	 * @param usable whether a worker may be used
	 * @return the workers and the attempts to evict, null if there are none
	 */
	Eviction cheapest(GangShape shape, CapacityView capacityView, Predicate<Gang> evictable,
			Predicate<WorkerNode> usable) {
		Eviction best = null;
		for (List<WorkerNode> workers : candidates(shape, capacityView, usable)) {
			best = cheaper(best, victims(shape, workers, evictable));
		}
		return best;
	}

	static Eviction cheaper(Eviction first, Eviction second) {
		if (first == null || second == null) {
			return (first != null) ? first : second;
		}
		return (second.loss() < first.loss()) ? second : first;
	}

	/**
	 * Finds the attempts to evict so that a gang can use the given workers.
	 * @param shape the gang
	 * @param workers a worker for each member
	 * @param evictable whether an attempt may be evicted
	 * @return the eviction, null if evicting them would not free enough
	 */
	Eviction victims(GangShape shape, List<WorkerNode> workers, Predicate<Gang> evictable) {
		Map<WorkerNode, Integer> membersPerWorker = new LinkedHashMap<>();
		for (WorkerNode worker : workers) {
			membersPerWorker.merge(worker, 1, Integer::sum);
		}
		Set<Gang> victims = new LinkedHashSet<>();
		for (Map.Entry<WorkerNode, Integer> entry : membersPerWorker.entrySet()) {
			Resources need = shape.perMember().times(entry.getValue());
			if (!selectVictims(entry.getKey(), need, evictable, victims)) {
				return null;
			}
		}
		double loss = 0;
		for (Gang victim : victims) {
			loss += loss(victim);
		}
		return new Eviction(workers, victims, loss);
	}

	/**
	 * The work that is lost when an attempt is preempted, in accelerator seconds; a CPU
	 * core counts as an eighth of an accelerator.
	 * @param gang the attempt
	 * @return the loss
	 */
	double loss(Gang gang) {
		double accelerators = acceleratorEquivalents(gang.job);
		if (!gang.isActive()) {
			return accelerators * BEFORE_START_COST_SECONDS;
		}
		if (gang.job.spec.savesCheckpoints()) {
			return accelerators * RESTART_COST_SECONDS;
		}
		return accelerators * (RESTART_COST_SECONDS + (this.context.now - gang.stageSince) / 1000.0);
	}

	static double acceleratorEquivalents(JobState job) {
		return acceleratorEquivalents(job.spec.shape());
	}

	static double acceleratorEquivalents(GangShape shape) {
		Resources total = shape.total();
		return Math.max(total.accelerators(), total.cores() / CORES_PER_ACCELERATOR);
	}

	boolean wasRecentlyPreempted(Gang gang) {
		long cooldown = this.context.policy.limits().preemptionCooldown().toMillis();
		return gang.job.preemptions > 0 && gang.job.lastPreemptedAt + cooldown > this.context.now;
	}

	private boolean selectVictims(WorkerNode worker, Resources need, Predicate<Gang> evictable, Set<Gang> victims) {
		ResourceSum remaining = new ResourceSum();
		remaining.add(worker.capacity(), 1);
		remaining.subtract(worker.allocated);
		remaining.add(need, -1);
		List<Gang> candidates = new ArrayList<>();
		for (Member member : worker.members) {
			Gang gang = member.gang;
			boolean isBeingReleased = gang.stage == Gang.Stage.ABANDONED || gang.stage == Gang.Stage.STOPPING
					|| victims.contains(gang);
			if (isBeingReleased) {
				remaining.add(gang.job.spec.shape().perMember(), 1);
			}
			else if (gang.job.isPreemptible() && !candidates.contains(gang) && evictable.test(gang)) {
				candidates.add(gang);
			}
		}
		candidates.sort(Comparator.comparing(this::wasRecentlyPreempted).thenComparingDouble(this::loss));
		for (Gang gang : candidates) {
			if (remaining.isNonNegative()) {
				return true;
			}
			victims.add(gang);
			for (Member member : gang.members) {
				if (member.worker == worker && member.allocated) {
					remaining.add(gang.job.spec.shape().perMember(), 1);
				}
			}
		}
		return remaining.isNonNegative();
	}

	private List<List<WorkerNode>> candidates(GangShape shape, CapacityView capacityView,
			Predicate<WorkerNode> usable) {
		List<List<WorkerNode>> found = new ArrayList<>();
		SlotIndex free = this.fleet.slotIndex(CapacityView.FREE, shape.perMember());
		SlotIndex possible = this.fleet.slotIndex(capacityView, shape.perMember());
		if (shape.adjacency() == Adjacency.ZONE) {
			ZoneNode zone = zoneWithMostFreeSlots(shape, free, possible);
			if (zone != null) {
				List<RackNode> racks = racksForGang(shape, possible, free.rackKeys(zone), zone.racks);
				addIfFound(found, assignWorkers(shape, capacityView, usable, workers(racks)));
			}
			return found;
		}
		if (shape.adjacency() == Adjacency.ANY && shape.members() > 1) {
			List<RackNode> racks = racksForGang(shape, possible, free.rackKeys(), this.fleet.racks());
			addIfFound(found, assignWorkers(shape, capacityView, usable, workers(racks)));
			return found;
		}
		boolean oneWorker = shape.adjacency() == Adjacency.WORKER || shape.members() == 1;
		SlotIndex rankedSlots = oneWorker ? this.fleet.slotIndex(CapacityView.FREE, ONE_ACCELERATOR) : free;
		for (RackNode rack : racksByFreeSlots(rankedSlots.rackKeys(), this.fleet.racks(), MAX_CANDIDATES)) {
			if (!oneWorker) {
				addIfFound(found, assignWorkers(shape, capacityView, usable, rack.workers));
				continue;
			}
			for (WorkerNode worker : rack.workers) {
				addIfFound(found, assignWorkers(shape, capacityView, usable, List.of(worker)));
			}
		}
		return found;
	}

	/**
	 * Returns racks with the most free slots first, then other racks up to the limit,
	 * starting at a position that varies with the time.
	 * @param keys the racks by free slots
	 * @param all the racks to choose from
	 * @param limit the maximum number of racks
	 * @return the racks
	 */
	private List<RackNode> racksByFreeSlots(NavigableSet<Long> keys, List<RackNode> all, int limit) {
		Set<RackNode> racks = new LinkedHashSet<>();
		for (long key : keys.descendingSet()) {
			if (racks.size() >= limit) {
				return new ArrayList<>(racks);
			}
			racks.add(this.fleet.rack(SlotIndex.rackOrdinal(key)));
		}
		int start = all.isEmpty() ? 0 : (int) (this.context.now % all.size());
		for (int i = 0; i < all.size() && racks.size() < limit; i++) {
			racks.add(all.get((start + i) % all.size()));
		}
		return new ArrayList<>(racks);
	}

	private ZoneNode zoneWithMostFreeSlots(GangShape shape, SlotIndex free, SlotIndex possible) {
		ZoneNode best = null;
		for (ZoneNode zone : this.fleet.zones()) {
			if (possible.slots(zone) >= shape.members() && (best == null || free.slots(zone) > free.slots(best))) {
				best = zone;
			}
		}
		return best;
	}

	/**
	 * Returns the racks with the most free slots that together can hold twice the gang,
	 * so that there is some choice while the search stays small.
	 * @param shape the gang
	 * @param possible the slots that can be made available
	 * @param keys the racks by free slots
	 * @param all the racks to choose from
	 * @return the racks
	 */
	private List<RackNode> racksForGang(GangShape shape, SlotIndex possible, NavigableSet<Long> keys,
			List<RackNode> all) {
		List<RackNode> chosen = new ArrayList<>();
		int slots = 0;
		int wanted = 2 * shape.members();
		for (RackNode rack : racksByFreeSlots(keys, all, MAX_RACKS_PER_GANG)) {
			chosen.add(rack);
			slots += possible.slots(rack);
			if (slots >= wanted) {
				return chosen;
			}
		}
		return chosen;
	}

	private static List<WorkerNode> workers(List<RackNode> racks) {
		List<WorkerNode> workers = new ArrayList<>();
		for (RackNode rack : racks) {
			workers.addAll(rack.workers);
		}
		return workers;
	}

	/**
	 * Assigns members to the free slots of all workers first, then to slots whose users
	 * would have to be evicted.
	 * @param shape the gang
	 * @param capacityView the capacity that can be used
	 * @param usable whether a worker may be used
	 * @param workers the workers
	 * @return a worker for each member, null if the gang does not fit
	 */
	private List<WorkerNode> assignWorkers(GangShape shape, CapacityView capacityView, Predicate<WorkerNode> usable,
			List<WorkerNode> workers) {
		Map<WorkerNode, Integer> slotsTaken = new LinkedHashMap<>();
		int missing = shape.members();
		for (CapacityView stepView : List.of(CapacityView.FREE, capacityView)) {
			for (WorkerNode worker : workers) {
				if (missing == 0) {
					break;
				}
				if (!worker.isTrusted() || !usable.test(worker)) {
					continue;
				}
				int possible = worker.slots(shape.perMember(), capacityView);
				int slots = Math.min(possible, worker.slots(shape.perMember(), stepView));
				int added = Math.min(missing, slots - slotsTaken.getOrDefault(worker, 0));
				if (added > 0) {
					slotsTaken.merge(worker, added, Integer::sum);
					missing -= added;
				}
			}
		}
		if (missing > 0) {
			return null;
		}
		List<WorkerNode> assigned = new ArrayList<>(shape.members());
		slotsTaken.forEach((worker, count) -> assigned.addAll(java.util.Collections.nCopies(count, worker)));
		return assigned;
	}

	private static void addIfFound(List<List<WorkerNode>> found, List<WorkerNode> workers) {
		if (workers != null) {
			found.add(workers);
		}
	}

	/**
	 * The workers for a gang and the attempts that have to be evicted from them.
	 *
	 * @param workers a worker for each member
	 * @param victims the attempts to evict
	 * @param loss the work lost by the eviction, in accelerator seconds
	 */
	record Eviction(List<WorkerNode> workers, Set<Gang> victims, double loss) {

	}

}
