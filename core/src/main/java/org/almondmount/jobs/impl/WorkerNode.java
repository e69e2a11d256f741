package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.almondmount.model.Resources;
import org.almondmount.model.WorkerInfo;

/**
 * A worker of the fleet with its books. Mutable, not thread-safe.
 * <p>
 * Three sums are kept for it: what members have or are promised ({@code used}), the part
 * of that which may not be preempted ({@code firm}), and what is kept for guaranteed
 * shapes that are not in use ({@code reserved}). Guarantees can be reclaimed as long as
 * {@code firm + reserved} never exceeds the capacity.
 */
final class WorkerNode {

	final RackNode rack;

	/** Its place among all workers, by which ties are broken. */
	final int ordinal;

	final ResourceSum allocated = new ResourceSum();

	final ResourceSum protectedAllocation = new ResourceSum();

	final ResourceSum guaranteeReserve = new ResourceSum();

	/** The part of {@code firm} that may not be repeated. */
	final ResourceSum pinnedAllocation = new ResourceSum();

	/** The part of {@code reserved} that borrowers have to leave alone for now. */
	final ResourceSum heldReserve = new ResourceSum();

	/** Members that have room here, running or not. */
	final Set<Member> members = new LinkedHashSet<>();

	/** What it keeps for spots. */
	final List<GuaranteeReservation.WorkerPortion> portions = new ArrayList<>(2);

	/** Jobs whose own program failed here and that have not failed elsewhere. */
	final Set<JobState> failedJobs = new LinkedHashSet<>(2);

	WorkerInfo info;

	boolean present;

	boolean leaving;

	/** Set aside because it failed what it started. */
	boolean quarantined;

	/** Takes one single task at a time until it has shown that it runs them. */
	boolean probation;

	/** How much it failed lately, as of {@link #failureScoreAtMillis}. */
	double failureScore;

	long failureScoreAtMillis;

	/** How often it was set aside. */
	int quarantineCount;

	/** The waiting job for which it is kept, null if for none. */
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
	 * Whether guarantees may rely on it.
	 * @return true if it takes work and is not on probation
	 */
	boolean isTrusted() {
		return !this.probation && isAccepting();
	}

	/**
	 * Whether more is promised than it has, because borrowers still have to leave.
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
	 * How many tasks of a size fit, from zero.
	 * @param need what each task needs
	 * @param view which room counts
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
