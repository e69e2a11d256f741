package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.NavigableSet;
import java.util.function.Predicate;

import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;
import org.almondmount.model.Resources;

/**
 * Finds workers for a gang. Not thread-safe.
 * <p>
 * With packing, it uses the capacity that is least useful for other gangs: partly used
 * workers before idle ones, and racks with the fewest slots first. Without packing, it
 * uses the racks with the most slots first.
 */
final class GangPlacer {

	/**
	 * Maximum number of racks or workers examined for one gang. The indexes only cover
	 * accelerators, so a candidate may lack cores or memory.
	 */
	private static final int MAX_CANDIDATES_TRIED = 256;

	private final Fleet fleet;

	private final boolean packing;

	GangPlacer(Fleet fleet, boolean packing) {
		this.fleet = fleet;
		this.packing = packing;
	}

	/**
	 * Finds a worker for each member that satisfies the adjacency of the gang.
	 * @param shape the gang
	 * @param view the capacity that counts as available
	 * @param allowed which workers may be used
	 * @return a worker for each member, null if the gang does not fit
	 */
	List<WorkerNode> findWorkers(GangShape shape, CapacityView view, Predicate<WorkerNode> allowed) {
		if (shape.adjacency() == Adjacency.WORKER || shape.members() == 1) {
			WorkerNode worker = findOneWorker(shape.total(), view, allowed);
			return (worker != null) ? new ArrayList<>(Collections.nCopies(shape.members(), worker)) : null;
		}
		SlotIndex index = this.fleet.slotIndex(view, shape.perMember());
		return switch (shape.adjacency()) {
			case WORKER, RACK -> findInOneRack(shape, index, allowed);
			case ZONE -> findInOneZone(shape, index, allowed);
			case ANY ->
				(index.total() >= shape.members()) ? takeFromRackKeys(shape, index, allowed, index.rackKeys()) : null;
		};
	}

	/**
	 * Takes workers from racks until there is one for each member.
	 * @param shape the gang
	 * @param view the capacity that counts as available
	 * @param allowed which workers may be used
	 * @param racks the racks, in the order in which they are used
	 * @return a worker for each member, null if there are too few
	 */
	List<WorkerNode> takeFromRacks(GangShape shape, CapacityView view, Predicate<WorkerNode> allowed,
			Iterable<RackNode> racks) {
		List<WorkerNode> found = new ArrayList<>(shape.members());
		for (RackNode rack : racks) {
			takeFromRack(rack, shape, view, allowed, found);
			if (found.size() == shape.members()) {
				return found;
			}
		}
		return null;
	}

	private WorkerNode findOneWorker(Resources need, CapacityView view, Predicate<WorkerNode> allowed) {
		if (!this.packing) {
			return findWorkerInRacks(need, view, allowed, this.fleet.slotIndex(view, need).rackKeys().descendingSet());
		}
		WorkerIndex index = this.fleet.workerIndex(view);
		long key = index.nextFitting(need, -1);
		for (int tries = 0; key >= 0 && tries < MAX_CANDIDATES_TRIED; tries++) {
			WorkerNode worker = this.fleet.worker(WorkerIndex.workerOrdinal(key));
			if (fits(worker, need, view, allowed)) {
				boolean idle = worker.members.isEmpty();
				WorkerNode preferred = idle
						? findWorkerInRacks(need, view, allowed, this.fleet.slotIndex(view, need).rackKeys()) : worker;
				return (preferred != null) ? preferred : worker;
			}
			key = index.nextFitting(need, key);
		}
		return null;
	}

	private WorkerNode findWorkerInRacks(Resources need, CapacityView view, Predicate<WorkerNode> allowed,
			NavigableSet<Long> rackKeys) {
		int tries = 0;
		for (long key : rackKeys) {
			WorkerNode best = null;
			for (WorkerNode worker : this.fleet.rack(SlotIndex.rackOrdinal(key)).workers) {
				if (fits(worker, need, view, allowed)
						&& (best == null || view.accelerators(worker) < view.accelerators(best))) {
					best = worker;
				}
			}
			tries++;
			if (best != null || tries == MAX_CANDIDATES_TRIED) {
				return best;
			}
		}
		return null;
	}

	private static boolean fits(WorkerNode worker, Resources need, CapacityView view, Predicate<WorkerNode> allowed) {
		return worker.isAccepting() && worker.slots(need, view) > 0 && allowed.test(worker);
	}

	private List<WorkerNode> findInOneRack(GangShape shape, SlotIndex index, Predicate<WorkerNode> allowed) {
		NavigableSet<Long> rackKeys = index.rackKeys().tailSet(SlotIndex.minKey(shape.members()), true);
		int tries = 0;
		for (long key : this.packing ? rackKeys : rackKeys.descendingSet()) {
			List<WorkerNode> found = takeFromRacks(shape, index.view, allowed,
					List.of(this.fleet.rack(SlotIndex.rackOrdinal(key))));
			tries++;
			if (found != null || tries == MAX_CANDIDATES_TRIED) {
				return found;
			}
		}
		return null;
	}

	private List<WorkerNode> findInOneZone(GangShape shape, SlotIndex index, Predicate<WorkerNode> allowed) {
		List<ZoneNode> zones = new ArrayList<>();
		for (ZoneNode zone : this.fleet.zones()) {
			if (index.slots(zone) >= shape.members()) {
				zones.add(zone);
			}
		}
		zones.sort(Comparator.comparingInt(index::slots));
		for (ZoneNode zone : zones) {
			List<WorkerNode> found = takeFromRackKeys(shape, index, allowed, index.rackKeys(zone));
			if (found != null) {
				return found;
			}
		}
		return null;
	}

	private List<WorkerNode> takeFromRackKeys(GangShape shape, SlotIndex index, Predicate<WorkerNode> allowed,
			NavigableSet<Long> rackKeys) {
		Iterator<Long> keys = this.packing ? rackKeys.iterator() : rackKeys.descendingIterator();
		List<WorkerNode> found = new ArrayList<>(shape.members());
		while (keys.hasNext() && found.size() < shape.members()) {
			takeFromRack(this.fleet.rack(SlotIndex.rackOrdinal(keys.next())), shape, index.view, allowed, found);
		}
		return (found.size() == shape.members()) ? found : null;
	}

	private void takeFromRack(RackNode rack, GangShape shape, CapacityView view, Predicate<WorkerNode> allowed,
			List<WorkerNode> found) {
		List<WorkerNode> usable = new ArrayList<>(rack.workers.size());
		for (WorkerNode worker : rack.workers) {
			if (fits(worker, shape.perMember(), view, allowed)) {
				usable.add(worker);
			}
		}
		Comparator<WorkerNode> bySlots = Comparator.comparingInt((worker) -> worker.slots(shape.perMember(), view));
		usable.sort(this.packing ? bySlots : bySlots.reversed());
		for (WorkerNode worker : usable) {
			int slots = worker.slots(shape.perMember(), view);
			while (slots > 0 && found.size() < shape.members()) {
				found.add(worker);
				slots--;
			}
		}
	}

}
