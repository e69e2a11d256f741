package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.Resources;

/**
 * The adjacent place that is kept for one gang of a guaranteed shape. Its owner's work
 * inside it takes from what is kept, the rest stays kept. Mutable, not thread-safe.
 */
final class GuaranteeReservation {

	final CustomerId customer;

	final GangShape shape;

	/** The parts on each worker; empty while no place could be found. */
	final List<WorkerPortion> portions = new ArrayList<>();

	/** The owner's attempts that run inside it. */
	final List<Gang> ownerGangs = new ArrayList<>(1);

	/** What making room in it last lost, in accelerator seconds. */
	double lastEvictionLoss;

	/** Whether borrowers have to leave it alone although it is not in use. */
	boolean held;

	/** Counts the times that it was held, so that an old timer is known. */
	int holdGeneration;

	/** Whether a worker of it is gone or takes no work. */
	boolean degraded;

	/** Whether the guarantee was withdrawn while it was in use. */
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
	 * What one worker keeps for a spot. Mutable, not thread-safe.
	 */
	static final class WorkerPortion {

		final GuaranteeReservation reservation;

		final WorkerNode worker;

		final int memberCount;

		/** What the owner's work inside the spot has here. */
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
		 * Takes the part that is kept out of, or back into, the worker's books.
		 * @param factor how often; negative to take away
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
