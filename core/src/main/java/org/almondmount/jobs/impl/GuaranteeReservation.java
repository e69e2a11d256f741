package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.Resources;

/**
 * The adjacent capacity that is reserved for one gang of a guaranteed shape. The owner's
 * gangs inside it use the reserved capacity; the rest stays reserved. Mutable, not
 * thread-safe.
 */
final class GuaranteeReservation {

	final CustomerId customer;

	final GangShape shape;

	/** The portion on each worker; empty while the reservation is unplaced. */
	final List<WorkerPortion> portions = new ArrayList<>();

	/** The owner's attempts that run inside the reservation. */
	final List<Gang> ownerGangs = new ArrayList<>(1);

	/** Work lost by the last eviction for the reservation, in accelerator seconds. */
	double lastEvictionLoss;

	/** Whether borrowers may not use it although it is vacant. */
	boolean held;

	/** Number of holds so far, by which the timer of an earlier hold is recognized. */
	int holdGeneration;

	/** Whether one of its workers is lost or accepts no work. */
	boolean degraded;

	/**
	 * Whether the guarantee was withdrawn; takes effect when the reservation is vacant.
	 */
	boolean withdrawn;

	GuaranteeReservation(CustomerId customer, GangShape shape) {
		this.customer = customer;
		this.shape = shape;
	}

	boolean isPlaced() {
		return !this.portions.isEmpty() && !this.degraded;
	}

	boolean isVacant() {
		return this.ownerGangs.isEmpty();
	}

	List<WorkerNode> memberWorkers() {
		List<WorkerNode> memberWorkers = new ArrayList<>(this.shape.members());
		for (WorkerPortion portion : this.portions) {
			for (int i = 0; i < portion.memberCount; i++) {
				memberWorkers.add(portion.worker);
			}
		}
		return memberWorkers;
	}

	/**
	 * The portion of a reservation on one worker. Mutable, not thread-safe.
	 */
	static final class WorkerPortion {

		final GuaranteeReservation reservation;

		final WorkerNode worker;

		final int memberCount;

		/** Resources on this worker used by the owner's gangs inside the reservation. */
		final ResourceSum ownerUsage = new ResourceSum();

		WorkerPortion(GuaranteeReservation reservation, WorkerNode worker, int memberCount) {
			this.reservation = reservation;
			this.worker = worker;
			this.memberCount = memberCount;
		}

		int accelerators() {
			return (int) Math.max(0, (long) this.reservation.shape.perMember().accelerators() * this.memberCount
					- this.ownerUsage.accelerators);
		}

		int cores() {
			return (int) Math.max(0,
					(long) this.reservation.shape.perMember().cores() * this.memberCount - this.ownerUsage.cores);
		}

		int memoryMb() {
			return (int) Math.max(0,
					(long) this.reservation.shape.perMember().memoryMb() * this.memberCount - this.ownerUsage.memoryMb);
		}

		int slots(Resources need) {
			int slots = GangShape.MAX_MEMBERS;
			slots = (need.accelerators() != 0) ? Math.min(slots, accelerators() / need.accelerators()) : slots;
			slots = (need.cores() != 0) ? Math.min(slots, cores() / need.cores()) : slots;
			return (need.memoryMb() != 0) ? Math.min(slots, memoryMb() / need.memoryMb()) : slots;
		}

		/**
		 * Adds the unused portion to the worker's reserved capacity, or subtracts it.
		 * @param factor how many times to add it; negative to subtract
		 */
		void addToWorker(int factor) {
			this.worker.guaranteeReserve.accelerators += factor * accelerators();
			this.worker.guaranteeReserve.cores += factor * cores();
			this.worker.guaranteeReserve.memoryMb += factor * memoryMb();
			if (this.reservation.held) {
				this.worker.heldReserve.accelerators += factor * accelerators();
				this.worker.heldReserve.cores += factor * cores();
				this.worker.heldReserve.memoryMb += factor * memoryMb();
			}
		}

	}

}
