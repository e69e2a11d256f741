package org.almondmount.jobs.impl;

import java.util.TreeMap;

import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;
import org.almondmount.model.Urgency;

/**
 * The waiting jobs of a customer with the same shape and urgency, in the order of
 * submission. If the first job does not fit, none of the others does. Mutable, not
 * thread-safe.
 */
final class ShapeQueue {

	final CustomerQueue customer;

	final Key key;

	final TreeMap<Long, JobState> jobs = new TreeMap<>();

	private SlotIndex slotIndex;

	private long entitledAtChangeCount = -1;

	private boolean mayReclaim;

	ShapeQueue(CustomerQueue customer, Key key) {
		this.customer = customer;
		this.key = key;
	}

	/**
	 * Whether the gang may fit in the adjacency domain (worker, rack, zone or fleet) of a
	 * worker.
	 * @param fleet the workers
	 * @param worker the worker
	 * @return false if the gang certainly does not fit
	 */
	boolean mayFitNear(Fleet fleet, WorkerNode worker) {
		SlotIndex slots = slotIndex(fleet);
		if (slots.slots(worker) == 0) {
			return false;
		}
		int members = this.key.shape().members();
		return switch (this.key.shape().adjacency()) {
			case WORKER -> true;
			case RACK -> slots.slots(worker.rack) >= members;
			case ZONE -> slots.slots(worker.rack.zone) >= members;
			case ANY -> slots.total() >= members;
		};
	}

	/**
	 * Whether the gang may fit anywhere in the fleet.
	 * @param fleet the workers
	 * @return false if the gang certainly does not fit
	 */
	boolean mayFitAnywhere(Fleet fleet) {
		SlotIndex slots = slotIndex(fleet);
		int members = this.key.shape().members();
		return switch (this.key.shape().adjacency()) {
			case WORKER -> slots.total() > 0;
			case RACK -> !slots.rackKeys().isEmpty() && slots.rackKeys().last() >= SlotIndex.minKey(members);
			case ZONE, ANY -> slots.total() >= members;
		};
	}

	/**
	 * Whether the first job may evict borrowers. The result is cached until the
	 * customer's usage or guarantee reservations change.
	 * @param guaranteedJobStarter computes the result
	 * @return true if the job may evict borrowers
	 */
	boolean mayReclaimImmediately(GuaranteedJobStarter guaranteedJobStarter) {
		if (this.entitledAtChangeCount != this.customer.changeCount) {
			this.entitledAtChangeCount = this.customer.changeCount;
			this.mayReclaim = guaranteedJobStarter.mayReclaimImmediately(first());
		}
		return this.mayReclaim;
	}

	private SlotIndex slotIndex(Fleet fleet) {
		fleet.refreshIndexes();
		if (this.slotIndex == null) {
			GangShape shape = this.key.shape();
			boolean oneWorker = shape.adjacency() == Adjacency.WORKER;
			this.slotIndex = fleet.slotIndex(CapacityView.BORROWABLE, oneWorker ? shape.total() : shape.perMember());
		}
		return this.slotIndex;
	}

	JobState first() {
		return this.jobs.isEmpty() ? null : this.jobs.firstEntry().getValue();
	}

	/**
	 * The properties that are common to all jobs of a queue.
	 *
	 * @param shape the gang
	 * @param urgent whether the jobs are urgent
	 * @param repeatable whether the jobs may be preempted
	 */
	record Key(GangShape shape, boolean urgent, boolean repeatable) {

		static Key of(JobState job) {
			return new Key(job.spec.shape(), job.spec.urgency() == Urgency.URGENT, job.spec.repeatable());
		}

	}

}
