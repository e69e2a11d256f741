package org.almondmount.jobs.impl;

import java.util.Arrays;
import java.util.TreeSet;

import org.almondmount.model.Resources;

/**
 * Workers sorted by available capacity: accelerators, then cores, then ordinal. Finds the
 * worker with the least sufficient capacity (best fit). Not thread-safe.
 */
final class WorkerIndex {

	private static final int CORES_SHIFT = 24;

	private static final int ACCELERATORS_SHIFT = 48;

	private static final long NO_KEY = -1;

	private static final long ORDINAL_MASK = (1L << CORES_SHIFT) - 1;

	private final CapacityView view;

	private final TreeSet<Long> keys = new TreeSet<>();

	private long[] keyOfWorker = new long[0];

	WorkerIndex(CapacityView view) {
		this.view = view;
	}

	void update(WorkerNode worker) {
		if (worker.ordinal >= this.keyOfWorker.length) {
			int before = this.keyOfWorker.length;
			this.keyOfWorker = Arrays.copyOf(this.keyOfWorker, Math.max(worker.ordinal + 1, before * 2));
			Arrays.fill(this.keyOfWorker, before, this.keyOfWorker.length, NO_KEY);
		}
		long before = this.keyOfWorker[worker.ordinal];
		long after = worker.isAccepting() ? key(this.view.accelerators(worker), this.view.cores(worker), worker.ordinal)
				: NO_KEY;
		if (before == after) {
			return;
		}
		if (before != NO_KEY) {
			this.keys.remove(before);
		}
		if (after != NO_KEY) {
			this.keys.add(after);
		}
		this.keyOfWorker[worker.ordinal] = after;
	}

	/**
	 * Finds the next worker with enough accelerators and cores, in ascending order of
	 * capacity.
	 * @param need the resources needed
	 * @param after the key returned by the previous call, or -1 for the first
	 * @return the key of the worker, -1 if there is none
	 */
	long nextFitting(Resources need, long after) {
		Long key = (after == NO_KEY) ? this.keys.ceiling(key(need.accelerators(), need.cores(), 0))
				: this.keys.higher(after);
		while (key != null) {
			int cores = (int) ((key >> CORES_SHIFT) & ORDINAL_MASK);
			if (cores >= need.cores()) {
				return key;
			}
			int accelerators = (int) (key >> ACCELERATORS_SHIFT);
			key = this.keys.ceiling(key(accelerators, need.cores(), 0));
		}
		return NO_KEY;
	}

	static int workerOrdinal(long key) {
		return (int) (key & ORDINAL_MASK);
	}

	private static long key(int accelerators, int cores, int ordinal) {
		return ((long) Math.max(0, accelerators) << ACCELERATORS_SHIFT) | ((long) Math.max(0, cores) << CORES_SHIFT)
				| ordinal;
	}

}
