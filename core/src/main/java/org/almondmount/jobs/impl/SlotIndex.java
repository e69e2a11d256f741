package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeSet;

import org.almondmount.model.GangShape;
import org.almondmount.model.Resources;

/**
 * Counts how many tasks of one size fit on each worker, rack and zone, and sorts the
 * racks by that number. An update takes time logarithmic in the number of racks. Not
 * thread-safe.
 * <p>
 * The first sizes requested have an index of their own. Further sizes are rounded down
 * (to accelerators alone where they need any) and share an index. The numbers of a shared
 * index are upper bounds, so each worker is checked before it is used.
 */
final class SlotIndex {

	private static final int INITIAL_CAPACITY = 16;

	private static final int ORDINAL_BITS = 32;

	final CapacityView view;

	private final Resources taskSize;

	private int[] workerSlots = new int[INITIAL_CAPACITY];

	private int[] rackSlots = new int[INITIAL_CAPACITY];

	private int[] zoneSlots = new int[INITIAL_CAPACITY];

	private long total;

	/** Racks of each zone with slots, by slots, then ordinal. */
	private final List<TreeSet<Long>> rackKeysByZone = new ArrayList<>();

	private final TreeSet<Long> rackKeys = new TreeSet<>();

	SlotIndex(CapacityView view, Resources taskSize) {
		this.view = view;
		this.taskSize = taskSize;
	}

	/**
	 * Rounds the resources of a task down to the size of a shared index.
	 * @param need the resources of a task
	 * @return the rounded size
	 */
	static Resources roundTaskSize(Resources need) {
		if (need.accelerators() > 0) {
			return new Resources(need.accelerators(), 0, 0);
		}
		if (need.cores() > 0) {
			return new Resources(0, Integer.highestOneBit(need.cores()), 0);
		}
		return new Resources(0, 0, Integer.highestOneBit(need.memoryMb()));
	}

	void update(WorkerNode worker) {
		int slots = worker.isAccepting() ? Math.min(GangShape.MAX_MEMBERS, worker.slots(this.taskSize, this.view)) : 0;
		this.workerSlots = grow(this.workerSlots, worker.ordinal);
		int change = slots - this.workerSlots[worker.ordinal];
		if (change == 0) {
			return;
		}
		this.workerSlots[worker.ordinal] = slots;
		RackNode rack = worker.rack;
		this.rackSlots = grow(this.rackSlots, rack.ordinal);
		this.zoneSlots = grow(this.zoneSlots, rack.zone.ordinal);
		TreeSet<Long> zoneKeys = keysOfZone(rack.zone);
		long before = rackKey(this.rackSlots[rack.ordinal], rack);
		this.rackSlots[rack.ordinal] += change;
		this.zoneSlots[rack.zone.ordinal] += change;
		this.total += change;
		long after = rackKey(this.rackSlots[rack.ordinal], rack);
		replaceKey(zoneKeys, before, after);
		replaceKey(this.rackKeys, before, after);
	}

	int slots(WorkerNode worker) {
		return (worker.ordinal < this.workerSlots.length) ? this.workerSlots[worker.ordinal] : 0;
	}

	int slots(RackNode rack) {
		return (rack.ordinal < this.rackSlots.length) ? this.rackSlots[rack.ordinal] : 0;
	}

	int slots(ZoneNode zone) {
		return (zone.ordinal < this.zoneSlots.length) ? this.zoneSlots[zone.ordinal] : 0;
	}

	long total() {
		return this.total;
	}

	/**
	 * The keys of all racks that have slots, ascending; {@link #rackOrdinal} extracts the
	 * ordinal of the rack from a key.
	 * @return the keys
	 */
	TreeSet<Long> rackKeys() {
		return this.rackKeys;
	}

	TreeSet<Long> rackKeys(ZoneNode zone) {
		return keysOfZone(zone);
	}

	/**
	 * The smallest key of a rack with a number of slots.
	 * @param slots the number of slots
	 * @return the key
	 */
	static long minKey(int slots) {
		return (long) slots << ORDINAL_BITS;
	}

	static int rackOrdinal(long key) {
		return (int) key;
	}

	private TreeSet<Long> keysOfZone(ZoneNode zone) {
		while (this.rackKeysByZone.size() <= zone.ordinal) {
			this.rackKeysByZone.add(new TreeSet<>());
		}
		return this.rackKeysByZone.get(zone.ordinal);
	}

	private static void replaceKey(TreeSet<Long> keys, long before, long after) {
		keys.remove(before);
		if (after >= minKey(1)) {
			keys.add(after);
		}
	}

	private static long rackKey(int slots, RackNode rack) {
		return ((long) slots << ORDINAL_BITS) | rack.ordinal;
	}

	private static int[] grow(int[] array, int position) {
		return (position < array.length) ? array : Arrays.copyOf(array, Math.max(position + 1, array.length * 2));
	}

}
