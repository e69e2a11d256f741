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
 * Finds places that a gang could have if borrowers left, and the borrowers whose leaving
 * loses the least work. Not thread-safe.
 */
final class Evictor {

	/** Racks or workers that are compared for one gang. */
	private static final int CANDIDATES = 12;

	/** Racks over which a gang of a zone may spread. */
	private static final int RACKS_OF_A_GANG = 128;

	/** What a checkpoint and the restart from it cost, in seconds. */
	private static final double RESTART_SECONDS = 3;

	/**
	 * What it costs to take a place away before the work has started: others may have
	 * left for it.
	 */
	private static final double BEFORE_START_SECONDS = 20;

	private static final double CORES_AN_ACCELERATOR = 8;

	private static final Resources ONE_ACCELERATOR = new Resources(1, 0, 0);

	private final Desk desk;

	private final Fleet fleet;

	Evictor(Desk desk, Fleet fleet) {
		this.desk = desk;
		this.fleet = fleet;
	}

	/**
	 * The place whose clearing loses the least.
	 * @param shape the gang
	 * @param room {@link CapacityView#RECLAIMABLE} for work that stays,
	 * {@link CapacityView#EVICTABLE} for work that borrows
	 * @param allowed whether an attempt may be made to leave
	 * @param usable whether a worker may be used
	 * @return the place and who has to leave, null if there is none
	 */
	Eviction cheapest(GangShape shape, CapacityView room, Predicate<Gang> allowed, Predicate<WorkerNode> usable) {
		Eviction best = null;
		for (List<WorkerNode> places : candidates(shape, room, usable)) {
			best = cheaper(best, victims(shape, places, allowed));
		}
		return best;
	}

	static Eviction cheaper(Eviction one, Eviction other) {
		if (one == null || other == null) {
			return (one != null) ? one : other;
		}
		return (other.loss() < one.loss()) ? other : one;
	}

	/**
	 * Who has to leave for a gang to have given places.
	 * @param shape the gang
	 * @param places a worker for each member
	 * @param allowed whether an attempt may be made to leave
	 * @return the attempts, null if their leaving would not be enough
	 */
	Eviction victims(GangShape shape, List<WorkerNode> places, Predicate<Gang> allowed) {
		Map<WorkerNode, Integer> counts = new LinkedHashMap<>();
		for (WorkerNode worker : places) {
			counts.merge(worker, 1, Integer::sum);
		}
		Set<Gang> victims = new LinkedHashSet<>();
		for (Map.Entry<WorkerNode, Integer> entry : counts.entrySet()) {
			Resources need = shape.perMember().times(entry.getValue());
			if (!clear(entry.getKey(), need, allowed, victims)) {
				return null;
			}
		}
		double loss = 0;
		for (Gang victim : victims) {
			loss += loss(victim);
		}
		return new Eviction(places, victims, loss);
	}

	/**
	 * The work that is lost when an attempt is preempted, in accelerator seconds; a
	 * processor core counts for an eighth of an accelerator.
	 * @param gang the attempt
	 * @return the loss
	 */
	double loss(Gang gang) {
		double size = size(gang.job);
		if (!gang.isActive()) {
			return size * BEFORE_START_SECONDS;
		}
		if (gang.job.spec.checkpoints()) {
			return size * RESTART_SECONDS;
		}
		return size * (RESTART_SECONDS + (this.desk.now - gang.stageSince) / 1000.0);
	}

	static double size(JobState job) {
		return size(job.spec.shape());
	}

	static double size(GangShape shape) {
		Resources total = shape.total();
		return Math.max(total.accelerators(), total.cores() / CORES_AN_ACCELERATOR);
	}

	boolean movedLately(Gang gang) {
		long alone = this.desk.policy.limits().movedAgainAfter().toMillis();
		return gang.job.preemptions > 0 && gang.job.movedAt + alone > this.desk.now;
	}

	private boolean clear(WorkerNode worker, Resources need, Predicate<Gang> allowed, Set<Gang> victims) {
		ResourceSum room = new ResourceSum();
		room.add(worker.capacity(), 1);
		room.subtract(worker.allocated);
		room.add(need, -1);
		List<Gang> candidates = new ArrayList<>();
		for (Member member : worker.members) {
			Gang gang = member.gang;
			boolean leaves = gang.stage == Gang.Stage.ABANDONED || gang.stage == Gang.Stage.STOPPING
					|| victims.contains(gang);
			if (leaves) {
				room.add(gang.job.spec.shape().perMember(), 1);
			}
			else if (gang.job.isPreemptible() && !candidates.contains(gang) && allowed.test(gang)) {
				candidates.add(gang);
			}
		}
		candidates.sort(Comparator.comparing(this::movedLately).thenComparingDouble(this::loss));
		for (Gang gang : candidates) {
			if (room.isNonNegative()) {
				return true;
			}
			victims.add(gang);
			for (Member member : gang.members) {
				if (member.worker == worker && member.booked) {
					room.add(gang.job.spec.shape().perMember(), 1);
				}
			}
		}
		return room.isNonNegative();
	}

	private List<List<WorkerNode>> candidates(GangShape shape, CapacityView room, Predicate<WorkerNode> usable) {
		List<List<WorkerNode>> found = new ArrayList<>();
		SlotIndex free = this.fleet.slotIndex(CapacityView.FREE, shape.perMember());
		SlotIndex possible = this.fleet.slotIndex(room, shape.perMember());
		if (shape.adjacency() == Adjacency.ZONE) {
			ZoneNode zone = freest(shape, free, possible);
			if (zone != null) {
				List<RackNode> racks = enough(shape, possible, free.rackKeys(zone), zone.racks);
				add(found, fill(shape, room, usable, workers(racks)));
			}
			return found;
		}
		if (shape.adjacency() == Adjacency.ANY && shape.members() > 1) {
			List<RackNode> racks = enough(shape, possible, free.rackKeys(), this.fleet.racks());
			add(found, fill(shape, room, usable, workers(racks)));
			return found;
		}
		boolean oneWorker = shape.adjacency() == Adjacency.WORKER || shape.members() == 1;
		SlotIndex ranked = oneWorker ? this.fleet.slotIndex(CapacityView.FREE, ONE_ACCELERATOR) : free;
		for (RackNode rack : mostFree(ranked.rackKeys(), this.fleet.racks(), CANDIDATES)) {
			if (!oneWorker) {
				add(found, fill(shape, room, usable, rack.workers));
				continue;
			}
			for (WorkerNode worker : rack.workers) {
				add(found, fill(shape, room, usable, List.of(worker)));
			}
		}
		return found;
	}

	/**
	 * Racks with the most free slots first, then others; all of them if that many are
	 * asked for.
	 * @param keys the racks by free slots
	 * @param all the racks to choose from
	 * @param limit how many are wanted
	 * @return the result
	 */
	private List<RackNode> mostFree(NavigableSet<Long> keys, List<RackNode> all, int limit) {
		Set<RackNode> racks = new LinkedHashSet<>();
		for (long key : keys.descendingSet()) {
			if (racks.size() >= limit) {
				return new ArrayList<>(racks);
			}
			racks.add(this.fleet.rack(SlotIndex.rackOrdinal(key)));
		}
		int start = all.isEmpty() ? 0 : (int) (this.desk.now % all.size());
		for (int i = 0; i < all.size() && racks.size() < limit; i++) {
			racks.add(all.get((start + i) % all.size()));
		}
		return new ArrayList<>(racks);
	}

	private ZoneNode freest(GangShape shape, SlotIndex free, SlotIndex possible) {
		ZoneNode best = null;
		for (ZoneNode zone : this.fleet.zones()) {
			if (possible.slots(zone) >= shape.members() && (best == null || free.slots(zone) > free.slots(best))) {
				best = zone;
			}
		}
		return best;
	}

	/**
	 * Racks with the most free slots that hold the gang twice over, so that there is some
	 * choice and the search stays small.
	 * @param shape the gang
	 * @param possible the slots that can be had
	 * @param keys the racks by free slots
	 * @param all the racks to choose from
	 * @return the racks
	 */
	private List<RackNode> enough(GangShape shape, SlotIndex possible, NavigableSet<Long> keys, List<RackNode> all) {
		List<RackNode> chosen = new ArrayList<>();
		int slots = 0;
		int wanted = 2 * shape.members();
		for (RackNode rack : mostFree(keys, all, RACKS_OF_A_GANG)) {
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
	 * Free slots of all workers first, then those that others would have to leave.
	 * @param shape the gang
	 * @param room which room counts
	 * @param usable whether a worker may be used
	 * @param workers the workers
	 * @return the result
	 */
	private List<WorkerNode> fill(GangShape shape, CapacityView room, Predicate<WorkerNode> usable,
			List<WorkerNode> workers) {
		Map<WorkerNode, Integer> taken = new LinkedHashMap<>();
		int missing = shape.members();
		for (CapacityView step : List.of(CapacityView.FREE, room)) {
			for (WorkerNode worker : workers) {
				if (missing == 0) {
					break;
				}
				if (!worker.isTrusted() || !usable.test(worker)) {
					continue;
				}
				int possible = worker.slots(shape.perMember(), room);
				int slots = Math.min(possible, worker.slots(shape.perMember(), step));
				int more = Math.min(missing, slots - taken.getOrDefault(worker, 0));
				if (more > 0) {
					taken.merge(worker, more, Integer::sum);
					missing -= more;
				}
			}
		}
		if (missing > 0) {
			return null;
		}
		List<WorkerNode> places = new ArrayList<>(shape.members());
		taken.forEach((worker, count) -> places.addAll(java.util.Collections.nCopies(count, worker)));
		return places;
	}

	private static void add(List<List<WorkerNode>> found, List<WorkerNode> places) {
		if (places != null) {
			found.add(places);
		}
	}

	/**
	 * A place and who has to leave it.
	 *
	 * @param places a worker for each member
	 * @param victims the attempts that have to leave
	 * @param loss what that loses, in accelerator seconds
	 */
	record Eviction(List<WorkerNode> places, Set<Gang> victims, double loss) {

	}

}
