package org.almondmount.jobs.impl;

/**
 * The part of a worker's capacity that counts as available for a placement.
 */
enum CapacityView {

	/** Capacity that is not allocated. */
	FREE {

		@Override
		int accelerators(WorkerNode worker) {
			return (int) (worker.capacity().accelerators() - worker.allocated.accelerators);
		}

		@Override
		int cores(WorkerNode worker) {
			return (int) (worker.capacity().cores() - worker.allocated.cores);
		}

		@Override
		int memoryMb(WorkerNode worker) {
			return (int) (worker.capacity().memoryMb() - worker.allocated.memoryMb);
		}

	},

	/**
	 * Free capacity that is not held for the owner of a guarantee; for preemptible work.
	 */
	BORROWABLE {

		@Override
		int accelerators(WorkerNode worker) {
			return (int) (FREE.accelerators(worker) - worker.heldReserve.accelerators);
		}

		@Override
		int cores(WorkerNode worker) {
			return (int) (FREE.cores(worker) - worker.heldReserve.cores);
		}

		@Override
		int memoryMb(WorkerNode worker) {
			return (int) (FREE.memoryMb(worker) - worker.heldReserve.memoryMb);
		}

	},

	/**
	 * Capacity outside guarantees, counting all preemptible work as evicted; for
	 * protected work.
	 */
	RECLAIMABLE {

		@Override
		int accelerators(WorkerNode worker) {
			return (int) (worker.capacity().accelerators() - worker.protectedAllocation.accelerators
					- worker.guaranteeReserve.accelerators);
		}

		@Override
		int cores(WorkerNode worker) {
			return (int) (worker.capacity().cores() - worker.protectedAllocation.cores - worker.guaranteeReserve.cores);
		}

		@Override
		int memoryMb(WorkerNode worker) {
			return (int) (worker.capacity().memoryMb() - worker.protectedAllocation.memoryMb
					- worker.guaranteeReserve.memoryMb);
		}

	},

	/**
	 * Capacity that is not held, counting all preemptible work as evicted; for borrowers.
	 */
	EVICTABLE {

		@Override
		int accelerators(WorkerNode worker) {
			return (int) (worker.capacity().accelerators() - worker.protectedAllocation.accelerators
					- worker.heldReserve.accelerators);
		}

		@Override
		int cores(WorkerNode worker) {
			return (int) (worker.capacity().cores() - worker.protectedAllocation.cores - worker.heldReserve.cores);
		}

		@Override
		int memoryMb(WorkerNode worker) {
			return (int) (worker.capacity().memoryMb() - worker.protectedAllocation.memoryMb
					- worker.heldReserve.memoryMb);
		}

	},

	/**
	 * Capacity that is not held, counting all work that can move as moved; for borrowers.
	 */
	MOVABLE {

		@Override
		int accelerators(WorkerNode worker) {
			return (int) (worker.capacity().accelerators() - worker.pinnedAllocation.accelerators
					- worker.heldReserve.accelerators);
		}

		@Override
		int cores(WorkerNode worker) {
			return (int) (worker.capacity().cores() - worker.pinnedAllocation.cores - worker.heldReserve.cores);
		}

		@Override
		int memoryMb(WorkerNode worker) {
			return (int) (worker.capacity().memoryMb() - worker.pinnedAllocation.memoryMb
					- worker.heldReserve.memoryMb);
		}

	},

	/**
	 * Free capacity that no guarantee needs; for work that is protected from preemption.
	 */
	UNRESERVED {

		@Override
		int accelerators(WorkerNode worker) {
			return Math.min(FREE.accelerators(worker), RECLAIMABLE.accelerators(worker));
		}

		@Override
		int cores(WorkerNode worker) {
			return Math.min(FREE.cores(worker), RECLAIMABLE.cores(worker));
		}

		@Override
		int memoryMb(WorkerNode worker) {
			return Math.min(FREE.memoryMb(worker), RECLAIMABLE.memoryMb(worker));
		}

	};

	abstract int accelerators(WorkerNode worker);

	abstract int cores(WorkerNode worker);

	abstract int memoryMb(WorkerNode worker);

}
