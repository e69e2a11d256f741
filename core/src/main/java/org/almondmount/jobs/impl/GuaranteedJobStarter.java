package org.almondmount.jobs.impl;

import java.util.List;
import java.util.function.Predicate;

import org.almondmount.model.GangShape;
import org.almondmount.model.Urgency;

/**
 * Starts jobs inside their owner's guarantee: in the spot as it lies, in free room to
 * which the spot moves, or by having borrowers leave. Not thread-safe.
 */
final class GuaranteedJobStarter {

	/** Spots of one customer that are compared for one job. */
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
	 * Whether a job is what the guarantee was given for, and so may have borrowers leave
	 * at once. Smaller work inside a spot would take it from the gang that it is kept
	 * for.
	 * @param job the job
	 * @return true if it is urgent or about as large as a spot that is not in use
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
	 * Whether a job is about as large as a spot of its customer that is not in use.
	 * Smaller work borrows where there is room, so that it does not break the spot.
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
	 * Starts a job inside its owner's guarantee, whoever has to leave.
	 * @param job the job
	 * @param mayEvict whether others may have to leave
	 * @return false if no spot can hold it
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
	 * Moves the spot to room that is free, or cheaper to clear than where it lies.
	 * @param job the job
	 * @param reservation the spot
	 * @param evictionInPlace what it would take where the spot lies
	 * @return true if so
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
	 * Urgent work goes before the owner's own work that is not urgent, a gang for which
	 * the spot was given before the owner's small work in it.
	 * @param job the job
	 * @return true if so
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
	 * Borrowers have to leave; the owner's own only for its urgent work.
	 * @param job the job
	 * @return the result
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
	 * Whether a job may take a part of a spot. Small work that may not be repeated could
	 * not leave again for the gang that the spot is kept for; it gets in only when it has
	 * waited very long and guarantees cover every worker, so that it does not wait for
	 * ever.
	 * @param job the job
	 * @param reservation the spot
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
