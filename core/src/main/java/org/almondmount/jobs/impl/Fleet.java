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
 * The workers in their racks and zones, and the books of who has what. Every change of a
 * worker's books goes through here, so that indexes and blocked shapes hear of it. Not
 * thread-safe.
 */
final class Fleet {

	/** So many sizes have an index of their own; the others share rounded ones. */
	private static final int EXACT_INDEXES = 36;

	private final Map<WorkerId, WorkerNode> workers = new TreeMap<>();

	private final Map<ZoneId, ZoneNode> zones = new LinkedHashMap<>();

	private final Map<ZoneId, Map<RackId, RackNode>> racks = new HashMap<>();

	private final List<RackNode> rackList = new ArrayList<>();

	/** All workers that ever joined, by their order. */
	private final List<WorkerNode> byOrder = new ArrayList<>();

	private final Map<SlotKey, SlotIndex> slotIndexes = new HashMap<>();

	/** Workers whose place in the indexes is not up to date. */
	private final Set<WorkerNode> stale = new LinkedHashSet<>();

	private final Map<Room, WorkerIndex> roomIndexes = new EnumMap<>(Room.class);

	/** Workers on which room has grown since it was last taken. */
	private final Map<WorkerNode, Boolean> grown = new LinkedHashMap<>();

	private Capacities capacities;

	/** The whole fleet's capacity, for dominant shares. */
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
		return this.rackList;
	}

	WorkerNode worker(int order) {
		return this.byOrder.get(order);
	}

	RackNode rack(int order) {
		return this.rackList.get(order);
	}

	/**
	 * The index of slots for tasks of a size, made on first use.
	 * @param room which room counts
	 * @param need what each task needs
	 * @return the index
	 */
	SlotIndex slots(Room room, Resources need) {
		refresh();
		SlotIndex exact = this.slotIndexes.get(new SlotKey(room, need));
		if (exact != null) {
			return exact;
		}
		boolean isExact = this.slotIndexes.size() < EXACT_INDEXES;
		SlotKey key = new SlotKey(room, isExact ? need : SlotIndex.unit(need));
		SlotIndex index = this.slotIndexes.get(key);
		if (index == null) {
			index = new SlotIndex(room, key.unit());
			this.byOrder.forEach(index::update);
			this.slotIndexes.put(key, index);
		}
		return index;
	}

	/**
	 * The index of workers by room, made on first use.
	 * @param room which room counts
	 * @return the index
	 */
	WorkerIndex byRoom(Room room) {
		refresh();
		WorkerIndex index = this.roomIndexes.get(room);
		if (index == null) {
			index = new WorkerIndex(room);
			this.byOrder.forEach(index::update);
			this.roomIndexes.put(room, index);
		}
		return index;
	}

	ZoneNode zone(ZoneId id) {
		return this.zones.computeIfAbsent(id, (name) -> new ZoneNode(name, this.zones.size()));
	}

	/**
	 * Takes a worker in, or in again with what it says now.
	 * @param info what it announced
	 * @return its node
	 */
	WorkerNode join(WorkerInfo info) {
		WorkerNode node = this.workers.get(info.id());
		if (node == null || !node.info.zone().equals(info.zone()) || !node.info.rack().equals(info.rack())) {
			node = place(info);
		}
		count(node, -1);
		node.info = info;
		node.present = true;
		node.leaving = false;
		count(node, 1);
		changed(node);
		return node;
	}

	/**
	 * What the empty fleet holds, worked out again after workers joined or were lost.
	 * @return the capacities
	 */
	Capacities capacities() {
		if (this.capacities == null) {
			this.capacities = new Capacities(this.rackList);
		}
		return this.capacities;
	}

	void leaving(WorkerNode node) {
		node.leaving = true;
		changed(node);
	}

	void lost(WorkerNode node) {
		count(node, -1);
		node.present = false;
		changed(node);
	}

	void book(Member member) {
		Resources need = member.gang.job.spec.shape().perMember();
		member.allocated = true;
		member.gang.allocatedCount++;
		member.worker.members.add(member);
		member.worker.used.add(need, 1);
		if (member.gang.preemptionProtected) {
			member.worker.firm.add(need, 1);
		}
		if (!member.gang.job.isPreemptible()) {
			member.worker.pinned.add(need, 1);
		}
		changed(member.worker);
	}

	void release(Member member) {
		if (!member.allocated) {
			return;
		}
		Resources need = member.gang.job.spec.shape().perMember();
		member.allocated = false;
		member.gang.allocatedCount--;
		member.worker.members.remove(member);
		member.worker.used.add(need, -1);
		if (member.gang.preemptionProtected) {
			member.worker.firm.add(need, -1);
		}
		if (!member.gang.job.isPreemptible()) {
			member.worker.pinned.add(need, -1);
		}
		changed(member.worker);
	}

	/**
	 * Lets others preempt an attempt that stayed until now.
	 * @param gang the attempt
	 */
	void soften(Gang gang) {
		setFirm(gang, false);
	}

	/**
	 * Protects an attempt from others again.
	 * @param gang the attempt
	 */
	void harden(Gang gang) {
		setFirm(gang, true);
	}

	private void setFirm(Gang gang, boolean firm) {
		if (gang.preemptionProtected == firm) {
			return;
		}
		gang.preemptionProtected = firm;
		for (Member member : gang.members) {
			if (member.allocated) {
				member.worker.firm.add(gang.job.spec.shape().perMember(), firm ? 1 : -1);
				changed(member.worker);
			}
		}
	}

	void changed(WorkerNode node) {
		this.grown.put(node, Boolean.TRUE);
		this.stale.add(node);
	}

	/**
	 * The workers whose books changed since the last call.
	 * @return the workers
	 */
	List<WorkerNode> takeGrown() {
		List<WorkerNode> taken = new ArrayList<>(this.grown.keySet());
		this.grown.clear();
		return taken;
	}

	/**
	 * The dominant share of the whole fleet that an amount is.
	 * @param amount the amount
	 * @return the largest of its shares in each dimension
	 */
	double dominantShare(Amount amount) {
		double share = 0;
		share = Math.max(share, (double) amount.accelerators / Math.max(1, this.totalAccelerators));
		share = Math.max(share, (double) amount.cores / Math.max(1, this.totalCores));
		return Math.max(share, (double) amount.memoryMb / Math.max(1, this.totalMemoryMb));
	}

	/**
	 * Brings the indexes up to date. A gang changes its workers' books many times over;
	 * each is put in its new place once, when an index is asked next.
	 */
	void refresh() {
		if (this.stale.isEmpty()) {
			return;
		}
		for (WorkerNode node : this.stale) {
			for (SlotIndex index : this.slotIndexes.values()) {
				index.update(node);
			}
			for (WorkerIndex index : this.roomIndexes.values()) {
				index.update(node);
			}
		}
		this.stale.clear();
	}

	private WorkerNode place(WorkerInfo info) {
		WorkerNode old = this.workers.get(info.id());
		if (old != null) {
			old.rack.workers.remove(old);
			count(old, -1);
			old.present = false;
		}
		RackNode rack = rack(info);
		WorkerNode node = new WorkerNode(info, rack, this.byOrder.size());
		this.byOrder.add(node);
		rack.workers.add(node);
		this.workers.put(info.id(), node);
		return node;
	}

	private RackNode rack(WorkerInfo info) {
		ZoneNode zone = zone(info.zone());
		Map<RackId, RackNode> known = this.racks.computeIfAbsent(info.zone(), (id) -> new HashMap<>());
		RackNode rack = known.get(info.rack());
		if (rack == null) {
			rack = new RackNode(info.rack(), zone, this.rackList.size());
			known.put(info.rack(), rack);
			zone.racks.add(rack);
			this.rackList.add(rack);
		}
		return rack;
	}

	private void count(WorkerNode node, int times) {
		this.capacities = null;
		if (!node.present) {
			return;
		}
		Resources capacity = node.capacity();
		this.totalAccelerators += (long) capacity.accelerators() * times;
		this.totalCores += (long) capacity.cores() * times;
		this.totalMemoryMb += (long) capacity.memoryMb() * times;
	}

	private record SlotKey(Room room, Resources unit) {

	}

}
