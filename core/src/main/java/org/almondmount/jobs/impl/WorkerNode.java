package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.almondmount.model.Resources;
import org.almondmount.model.WorkerInfo;

/**
 * A worker of the fleet and its allocations. Mutable, not thread-safe.
 * <p>
 * Three sums are maintained: the resources that members use or have been promised
 * ({@code allocated}), the part of these that is protected from preemption
 * ({@code protectedAllocation}), and the capacity reserved for guaranteed shapes that are
 * not in use ({@code guaranteeReserve}). Guarantees can be reclaimed as long as
 * {@code protectedAllocation + guaranteeReserve} never exceeds the capacity.
 */
final class WorkerNode {

	final RackNode rack;

	/** Position among all workers; breaks ties. */
	final int ordinal;

	final ResourceSum allocated = new ResourceSum();

	final ResourceSum protectedAllocation = new ResourceSum();

	final ResourceSum guaranteeReserve = new ResourceSum();

	/** The part of {@code protectedAllocation} that belongs to non-repeatable work. */
	final ResourceSum pinnedAllocation = new ResourceSum();

	/** The part of {@code guaranteeReserve} that borrowers may not use at present. */
	final ResourceSum heldReserve = new ResourceSum();

	/** Members with an allocation on this worker, running or not. */
	final Set<Member> members = new LinkedHashSet<>();

	/** Portions of guarantee reservations on this worker. */
	final List<GuaranteeReservation.WorkerPortion> portions = new ArrayList<>(2);

	/** Jobs whose own program failed here and that have not failed elsewhere. */
	final Set<JobState> failedJobs = new LinkedHashSet<>(2);

	WorkerInfo info;

	boolean present;

	boolean leaving;

	/** Whether it gets no work because tasks that it started failed. */
	boolean quarantined;

	/** Whether it gets only one task at a time, until it has shown that it runs them. */
	boolean probation;

	/** Decaying score of recent failures, as of {@link #failureScoreAtMillis}. */
	double failureScore;

	long failureScoreAtMillis;

	/** Number of times it was quarantined. */
	int quarantineCount;

	/** The reservation of a waiting job on this worker, null if there is none. */
	WaitingJobReservation reservation;

	WorkerNode(WorkerInfo info, RackNode rack, int ordinal) {
		this.info = info;
		this.rack = rack;
		this.ordinal = ordinal;
	}

	boolean isAccepting() {
		boolean open = this.present && !this.leaving && !this.quarantined && this.rack.zone.accepting;
		return open && (!this.probation || this.members.isEmpty());
	}

	/**
	 * Whether guarantees may rely on this worker.
	 * @return true if it accepts work and is not on probation
	 */
	boolean isTrusted() {
		return !this.probation && isAccepting();
	}

	/**
	 * Whether more is allocated than its capacity, because borrowers are still being
	 * evicted.
	 * @return true if so
	 */
	boolean isOverallocated() {
		return CapacityView.FREE.accelerators(this) < 0 || CapacityView.FREE.cores(this) < 0
				|| CapacityView.FREE.memoryMb(this) < 0;
	}

	Resources free() {
		return new Resources(Math.max(0, CapacityView.FREE.accelerators(this)),
				Math.max(0, CapacityView.FREE.cores(this)), Math.max(0, CapacityView.FREE.memoryMb(this)));
	}

	String stateName() {
		if (this.leaving) {
			return "leaving";
		}
		if (this.quarantined) {
			return "quarantined";
		}
		return this.probation ? "probation" : "up";
	}

	Resources capacity() {
		return this.info.capacity();
	}

	/**
	 * The number of tasks of a size that fit, at least zero.
	 * @param need the resources of each task
	 * @param view the capacity that counts as available
	 * @return the number of tasks
	 */
	int slots(Resources need, CapacityView view) {
		int count = Integer.MAX_VALUE;
		count = Math.min(count, slotsInDimension(view.accelerators(this), need.accelerators()));
		count = Math.min(count, slotsInDimension(view.cores(this), need.cores()));
		count = Math.min(count, slotsInDimension(view.memoryMb(this), need.memoryMb()));
		return Math.max(0, count);
	}

	private static int slotsInDimension(int available, int need) {
		return (need != 0) ? available / need : Integer.MAX_VALUE;
	}

}
