package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.almondmount.model.RackId;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;

/**
 * The workers by rack and zone, and the resources allocated on them. Every change of a
 * worker's allocations goes through this class, so that the indexes are updated and
 * blocked shapes are tried again. Not thread-safe.
 */
final class Fleet {

	/** Number of task sizes with an exact index; further sizes share rounded ones. */
	private static final int MAX_EXACT_SLOT_INDEXES = 36;

	private final Map<WorkerId, WorkerNode> workers = new TreeMap<>();

	private final Map<ZoneId, ZoneNode> zones = new LinkedHashMap<>();

	private final Map<ZoneId, Map<RackId, RackNode>> racks = new HashMap<>();

	private final List<RackNode> racksByOrdinal = new ArrayList<>();

	/** All workers that ever joined, by ordinal. */
	private final List<WorkerNode> workersByOrdinal = new ArrayList<>();

	private final Map<SlotKey, SlotIndex> slotIndexes = new HashMap<>();

	/** Workers whose index entries are out of date. */
	private final Set<WorkerNode> workersToReindex = new LinkedHashSet<>();

	private final Map<CapacityView, WorkerIndex> workerIndexes = new EnumMap<>(CapacityView.class);

	/** Workers that changed since the last call of {@link #takeChangedWorkers}. */
	private final Map<WorkerNode, Boolean> changedWorkers = new LinkedHashMap<>();

	private FleetCapacity emptyCapacity;

	/** Capacity of the whole fleet, from which dominant shares are computed. */
	private long totalAccelerators;

	private long totalCores;

	private long totalMemoryMb;

	WorkerNode worker(WorkerId id) {
		return this.workers.get(id);
	}

	Collection<WorkerNode> workers() {
		return this.workers.values();
	}

	Collection<ZoneNode> zones() {
		return this.zones.values();
	}

	List<RackNode> racks() {
		return this.racksByOrdinal;
	}

	WorkerNode worker(int ordinal) {
		return this.workersByOrdinal.get(ordinal);
	}

	RackNode rack(int ordinal) {
		return this.racksByOrdinal.get(ordinal);
	}

	/**
	 * The index of slots for tasks of a size, created on first use.
	 * @param view the capacity that counts as available
	 * @param need the resources of each task
	 * @return the index
	 */
	SlotIndex slotIndex(CapacityView view, Resources need) {
		refreshIndexes();
		SlotIndex exact = this.slotIndexes.get(new SlotKey(view, need));
		if (exact != null) {
			return exact;
		}
		boolean isExact = this.slotIndexes.size() < MAX_EXACT_SLOT_INDEXES;
		SlotKey key = new SlotKey(view, isExact ? need : SlotIndex.roundTaskSize(need));
		SlotIndex index = this.slotIndexes.get(key);
		if (index == null) {
			index = new SlotIndex(view, key.taskSize());
			this.workersByOrdinal.forEach(index::update);
			this.slotIndexes.put(key, index);
		}
		return index;
	}

	/**
	 * The index of workers by available capacity, created on first use.
	 * @param view the capacity that counts as available
	 * @return the index
	 */
	WorkerIndex workerIndex(CapacityView view) {
		refreshIndexes();
		WorkerIndex index = this.workerIndexes.get(view);
		if (index == null) {
			index = new WorkerIndex(view);
			this.workersByOrdinal.forEach(index::update);
			this.workerIndexes.put(view, index);
		}
		return index;
	}

	ZoneNode zone(ZoneId id) {
		return this.zones.computeIfAbsent(id, (name) -> new ZoneNode(name, this.zones.size()));
	}

	/**
	 * Adds a worker, or updates a known worker from its latest announcement.
	 * @param info the announcement
	 * @return its node
	 */
	WorkerNode join(WorkerInfo info) {
		WorkerNode node = this.workers.get(info.id());
		if (node == null || !node.info.zone().equals(info.zone()) || !node.info.rack().equals(info.rack())) {
			node = addNode(info);
		}
		addToTotals(node, -1);
		node.info = info;
		node.present = true;
		node.leaving = false;
		addToTotals(node, 1);
		markChanged(node);
		return node;
	}

	/**
	 * The capacity of the empty fleet, computed again after workers joined or were lost.
	 * @return the capacity
	 */
	FleetCapacity emptyCapacity() {
		if (this.emptyCapacity == null) {
			this.emptyCapacity = new FleetCapacity(this.racksByOrdinal);
		}
		return this.emptyCapacity;
	}

	void markLeaving(WorkerNode node) {
		node.leaving = true;
		markChanged(node);
	}

	void markLost(WorkerNode node) {
		addToTotals(node, -1);
		node.present = false;
		markChanged(node);
	}

	void allocate(Member member) {
		Resources need = member.gang.job.spec.shape().perMember();
		member.allocated = true;
		member.gang.allocatedCount++;
		member.worker.members.add(member);
		member.worker.allocated.add(need, 1);
		if (member.gang.preemptionProtected) {
			member.worker.protectedAllocation.add(need, 1);
		}
		if (!member.gang.job.isPreemptible()) {
			member.worker.pinnedAllocation.add(need, 1);
		}
		markChanged(member.worker);
	}

	void release(Member member) {
		if (!member.allocated) {
			return;
		}
		Resources need = member.gang.job.spec.shape().perMember();
		member.allocated = false;
		member.gang.allocatedCount--;
		member.worker.members.remove(member);
		member.worker.allocated.add(need, -1);
		if (member.gang.preemptionProtected) {
			member.worker.protectedAllocation.add(need, -1);
		}
		if (!member.gang.job.isPreemptible()) {
			member.worker.pinnedAllocation.add(need, -1);
		}
		markChanged(member.worker);
	}

	/**
	 * Allows other jobs to preempt an attempt that was protected until now.
	 * @param gang the attempt
	 */
	void allowPreemption(Gang gang) {
		setProtected(gang, false);
	}

	/**
	 * Protects an attempt from preemption by other jobs again.
	 * @param gang the attempt
	 */
	void protectFromPreemption(Gang gang) {
		setProtected(gang, true);
	}

	private void setProtected(Gang gang, boolean isProtected) {
		if (gang.preemptionProtected == isProtected) {
			return;
		}
		gang.preemptionProtected = isProtected;
		for (Member member : gang.members) {
			if (member.allocated) {
				member.worker.protectedAllocation.add(gang.job.spec.shape().perMember(), isProtected ? 1 : -1);
				markChanged(member.worker);
			}
		}
	}

	void markChanged(WorkerNode node) {
		this.changedWorkers.put(node, Boolean.TRUE);
		this.workersToReindex.add(node);
	}

	/**
	 * Returns and clears the workers that changed since the last call.
	 * @return the workers
	 */
	List<WorkerNode> takeChangedWorkers() {
		List<WorkerNode> taken = new ArrayList<>(this.changedWorkers.keySet());
		this.changedWorkers.clear();
		return taken;
	}

	/**
	 * The dominant share of an amount in the capacity of the whole fleet.
	 * @param amount the amount
	 * @return the largest share over all dimensions
	 */
	double dominantShare(ResourceSum amount) {
		double share = 0;
		share = Math.max(share, (double) amount.accelerators / Math.max(1, this.totalAccelerators));
		share = Math.max(share, (double) amount.cores / Math.max(1, this.totalCores));
		return Math.max(share, (double) amount.memoryMb / Math.max(1, this.totalMemoryMb));
	}

	/**
	 * Brings the indexes up to date. Placing a gang changes its workers many times, so
	 * each worker is reindexed only once, when an index is next used.
	 */
	void refreshIndexes() {
		if (this.workersToReindex.isEmpty()) {
			return;
		}
		for (WorkerNode node : this.workersToReindex) {
			for (SlotIndex index : this.slotIndexes.values()) {
				index.update(node);
			}
			for (WorkerIndex index : this.workerIndexes.values()) {
				index.update(node);
			}
		}
		this.workersToReindex.clear();
	}

	private WorkerNode addNode(WorkerInfo info) {
		WorkerNode previous = this.workers.get(info.id());
		if (previous != null) {
			previous.rack.workers.remove(previous);
			addToTotals(previous, -1);
			previous.present = false;
		}
		RackNode rack = rack(info);
		WorkerNode node = new WorkerNode(info, rack, this.workersByOrdinal.size());
		this.workersByOrdinal.add(node);
		rack.workers.add(node);
		this.workers.put(info.id(), node);
		return node;
	}

	private RackNode rack(WorkerInfo info) {
		ZoneNode zone = zone(info.zone());
		Map<RackId, RackNode> racksOfZone = this.racks.computeIfAbsent(info.zone(), (id) -> new HashMap<>());
		RackNode rack = racksOfZone.get(info.rack());
		if (rack == null) {
			rack = new RackNode(info.rack(), zone, this.racksByOrdinal.size());
			racksOfZone.put(info.rack(), rack);
			zone.racks.add(rack);
			this.racksByOrdinal.add(rack);
		}
		return rack;
	}

	private void addToTotals(WorkerNode node, int factor) {
		this.emptyCapacity = null;
		if (!node.present) {
			return;
		}
		Resources capacity = node.capacity();
		this.totalAccelerators += (long) capacity.accelerators() * factor;
		this.totalCores += (long) capacity.cores() * factor;
		this.totalMemoryMb += (long) capacity.memoryMb() * factor;
	}

	private record SlotKey(CapacityView view, Resources taskSize) {

	}

}
