package org.almondmount.jobs.impl;

/**
 * Which part of a worker counts as room for a placement.
 */
enum CapacityView {

	/** What nobody has. */
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
	 * What nobody has and no owner is about to reclaim: for work that can be preempted.
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

	/** What may be taken for good once preemptible work is gone. */
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

	/** What may be taken for a while once preemptible work is gone. */
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

	/** What may be taken for a while once everything that can move has moved. */
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

	/** What nobody has and no guarantee needs: for work that stays. */
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
