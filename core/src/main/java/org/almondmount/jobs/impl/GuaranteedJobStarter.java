package org.almondmount.jobs.impl;

import java.util.List;
import java.util.function.Predicate;

import org.almondmount.model.GangShape;
import org.almondmount.model.Urgency;

/**
 * Starts jobs within their owner's guarantees: in a reservation where it is placed, by
 * moving the reservation to free capacity, or by evicting borrowers. Not thread-safe.
 */
final class GuaranteedJobStarter {

	/** Number of reservations of one customer that are compared for one job. */
	private static final int MAX_RESERVATIONS_COMPARED = 16;

	private final SchedulerContext context;

	private final Fleet fleet;

	private final GangPlacer placer;

	private final GuaranteeAllocator guaranteeAllocator;

	private final Evictor evictor;

	private final GangRunner runner;

	GuaranteedJobStarter(SchedulerContext context, Fleet fleet, GangPlacer placer,
			GuaranteeAllocator guaranteeAllocator, Evictor evictor, GangRunner runner) {
		this.context = context;
		this.fleet = fleet;
		this.placer = placer;
		this.guaranteeAllocator = guaranteeAllocator;
		this.evictor = evictor;
		this.runner = runner;
	}

	/**
	 * Whether a job may evict borrowers at once, because it is the kind of work for which
	 * the guarantee was given. A smaller job inside a reservation would take capacity
	 * away from the gang for which it is reserved.
	 * @param job the job
	 * @return true if it is urgent, about as large as a reservation that is not in use,
	 * or within the customer's guarantees and allowed to use a part of a reservation
	 */
	boolean mayReclaimImmediately(JobState job) {
		List<GuaranteeReservation> reservations = this.guaranteeAllocator.reservations(job.spec.customer());
		if (reservations.isEmpty()) {
			return false;
		}
		if (job.spec.urgency() == Urgency.URGENT) {
			return true;
		}
		if (fillsVacantReservation(job)) {
			return true;
		}
		boolean withinGuarantees = this.guaranteeAllocator.isWithinGuarantees(job);
		for (GuaranteeReservation reservation : reservations) {
			if (withinGuarantees && mayUsePartOf(job, reservation)
					&& this.guaranteeAllocator.findWorkersInside(job.spec.shape(), reservation) != null) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Whether a job is about as large as a reservation of its customer that is not in
	 * use. Smaller jobs borrow capacity elsewhere, so that they do not fragment the
	 * reservation.
	 * @param job the job
	 * @return true if so
	 */
	boolean fillsVacantReservation(JobState job) {
		for (GuaranteeReservation reservation : this.guaranteeAllocator.reservations(job.spec.customer())) {
			boolean fills = reservation.isVacant() ? fills(job, reservation) : mayDisplaceOwner(reservation, job);
			if (reservation.isPlaced() && fills) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Starts a job within its owner's guarantees.
	 * @param job the job
	 * @param mayEvict whether other jobs may be evicted
	 * @return false if the job was not started: no reservation can hold it, or others
	 * would have to be evicted and may not be
	 */
	boolean start(JobState job, boolean mayEvict) {
		GangShape shape = job.spec.shape();
		GuaranteeReservation bestReservation = null;
		Evictor.Eviction best = null;
		int compared = 0;
		for (GuaranteeReservation reservation : this.guaranteeAllocator.reservations(job.spec.customer())) {
			List<WorkerNode> memberWorkers = mayUsePartOf(job, reservation)
					? this.guaranteeAllocator.findWorkersInside(shape, reservation) : null;
			if (memberWorkers == null) {
				continue;
			}
			Evictor.Eviction eviction = this.evictor.victims(shape, memberWorkers, isEvictableFor(job));
			if (eviction != null && Evictor.cheaper(best, eviction) == eviction) {
				best = eviction;
				bestReservation = reservation;
			}
			compared++;
			if (compared == MAX_RESERVATIONS_COMPARED || (best != null && best.victims().isEmpty())) {
				break;
			}
		}
		if (best != null && !best.victims().isEmpty() && !mayEvict) {
			return false;
		}
		if (best != null && !best.victims().isEmpty()) {
			GuaranteeReservation vacant = findVacantReservation(job);
			if (vacant != null && startAfterMove(job, vacant, best)) {
				return true;
			}
		}
		if (best == null) {
			return mayEvict && startByDisplacingOwner(job);
		}
		launch(job, bestReservation, best);
		return true;
	}

	/**
	 * Moves a reservation to capacity that is free, or cheaper to clear than its present
	 * workers, and starts a job there.
	 * @param job the job
	 * @param reservation the reservation
	 * @param evictionInPlace the eviction needed on the present workers
	 * @return true if the job was started
	 */
	private boolean startAfterMove(JobState job, GuaranteeReservation reservation, Evictor.Eviction evictionInPlace) {
		List<WorkerNode> previousWorkers = reservation.memberWorkers();
		this.guaranteeAllocator.unplace(reservation);
		List<WorkerNode> newWorkers = this.placer.findWorkers(reservation.shape, CapacityView.UNRESERVED,
				GuaranteeAllocator.NOT_ON_PROBATION);
		if (newWorkers == null) {
			Evictor.Eviction cheapest = this.evictor.cheapest(reservation.shape, CapacityView.RECLAIMABLE,
					isEvictableFor(job), GuaranteeAllocator.NOT_ON_PROBATION);
			newWorkers = (cheapest != null && cheapest.loss() < evictionInPlace.loss()) ? cheapest.workers() : null;
		}
		this.guaranteeAllocator.place(reservation, (newWorkers != null) ? newWorkers : previousWorkers);
		List<WorkerNode> memberWorkers = (newWorkers != null)
				? this.guaranteeAllocator.findWorkersInside(job.spec.shape(), reservation) : null;
		Evictor.Eviction eviction = (memberWorkers != null)
				? this.evictor.victims(job.spec.shape(), memberWorkers, isEvictableFor(job)) : null;
		if (eviction == null) {
			this.guaranteeAllocator.place(reservation, previousWorkers);
			return false;
		}
		launch(job, reservation, eviction);
		return true;
	}

	/**
	 * Starts a job in place of other work of its owner. Urgent work takes precedence over
	 * work that is not urgent, and a gang as large as the reservation over small work
	 * inside it.
	 * @param job the job
	 * @return true if the job was started
	 */
	private boolean startByDisplacingOwner(JobState job) {
		for (GuaranteeReservation reservation : this.guaranteeAllocator.reservations(job.spec.customer())) {
			if (!reservation.isPlaced() || !mayDisplaceOwner(reservation, job)) {
				continue;
			}
			for (Gang ownerGang : List.copyOf(reservation.ownerGangs)) {
				this.guaranteeAllocator.detach(ownerGang);
				this.fleet.allowPreemption(ownerGang);
			}
			List<WorkerNode> memberWorkers = this.guaranteeAllocator.findWorkersInside(job.spec.shape(), reservation);
			Evictor.Eviction eviction = (memberWorkers != null)
					? this.evictor.victims(job.spec.shape(), memberWorkers, isEvictableFor(job)) : null;
			if (eviction != null) {
				launch(job, reservation, eviction);
				return true;
			}
		}
		return false;
	}

	/**
	 * Which attempts may be evicted for a job: borrowers, and the owner's own attempts
	 * only if the job is urgent.
	 * @param job the job
	 * @return the predicate
	 */
	private static Predicate<Gang> isEvictableFor(JobState job) {
		boolean urgent = job.spec.urgency() == Urgency.URGENT;
		return (gang) -> !gang.preemptionProtected && (urgent || !gang.job.spec.customer().equals(job.spec.customer()));
	}

	private boolean mayDisplaceOwner(GuaranteeReservation reservation, JobState job) {
		boolean urgent = job.spec.urgency() == Urgency.URGENT;
		if (!urgent && !isLargeFor(job, reservation)) {
			return false;
		}
		for (Gang ownerGang : reservation.ownerGangs) {
			boolean displaceable = ownerGang.job.spec.urgency() == Urgency.NORMAL && ownerGang.job.isPreemptible()
					&& ownerGang.isActive();
			boolean small = !isLargeFor(ownerGang.job, reservation) && !this.evictor.wasRecentlyPreempted(ownerGang);
			if (!displaceable || !(urgent || small)) {
				return false;
			}
		}
		return covers(reservation.shape, job.spec.shape());
	}

	private static boolean covers(GangShape reserved, GangShape requested) {
		return requested.members() <= reserved.members() && requested.perMember().fitsIn(reserved.perMember())
				&& reserved.adjacency().compareTo(requested.adjacency()) <= 0;
	}

	private static boolean isLargeFor(JobState job, GuaranteeReservation reservation) {
		return Evictor.acceleratorEquivalents(job) * 2 >= Evictor.acceleratorEquivalents(reservation.shape);
	}

	private void launch(JobState job, GuaranteeReservation reservation, Evictor.Eviction eviction) {
		reservation.lastEvictionLoss = Math.max(reservation.lastEvictionLoss, eviction.loss());
		this.runner.launch(job, eviction.workers(), reservation);
		this.runner.evict(eviction.victims(),
				"customer " + job.spec.customer() + " reclaims a guaranteed shape for job " + job.id);
	}

	private GuaranteeReservation findVacantReservation(JobState job) {
		for (GuaranteeReservation reservation : this.guaranteeAllocator.reservations(job.spec.customer())) {
			if (reservation.isVacant() && reservation.isPlaced()
					&& this.guaranteeAllocator.findWorkersInside(job.spec.shape(), reservation) != null) {
				return reservation;
			}
		}
		return null;
	}

	/**
	 * Whether a job may use a part of a reservation. A small non-repeatable job could not
	 * be evicted again for the gang for which the capacity is reserved. It is admitted
	 * only after a very long wait and if guarantees cover every worker, so that it does
	 * not wait forever.
	 * @param job the job
	 * @param reservation the reservation
	 * @return true if it may
	 */
	private boolean mayUsePartOf(JobState job, GuaranteeReservation reservation) {
		if (job.isPreemptible() || isLargeFor(job, reservation)) {
			return true;
		}
		long agingMillis = this.context.policy.limits().agingAfter().toMillis();
		return this.context.now - job.submittedAt > agingMillis
				&& !this.guaranteeAllocator.hasCapacityBesideGuarantees(job.spec.shape().perMember());
	}

	private boolean fills(JobState job, GuaranteeReservation reservation) {
		return isLargeFor(job, reservation)
				&& this.guaranteeAllocator.findWorkersInside(job.spec.shape(), reservation) != null;
	}

}
