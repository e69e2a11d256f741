package org.almondmount.jobs.impl;

import java.util.List;
import java.util.function.Predicate;

import org.almondmount.model.GangShape;
import org.almondmount.model.Urgency;

/**
 * Starts jobs inside their owner's guarantee: in the spot as it lies, in free room to
 * which the spot moves, or by having borrowers leave. Not thread-safe.
 */
final class GuaranteedStart {

	/** Spots of one customer that are compared for one job. */
	private static final int SPOTS_COMPARED = 16;

	private final SchedulerContext desk;

	private final Fleet fleet;

	private final Placer placer;

	private final GuaranteeLedger ledger;

	private final Evictor evictor;

	private final GangRunner runner;

	GuaranteedStart(SchedulerContext desk, Fleet fleet, Placer placer, GuaranteeLedger ledger, Evictor evictor,
			GangRunner runner) {
		this.desk = desk;
		this.fleet = fleet;
		this.placer = placer;
		this.ledger = ledger;
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
	boolean isEntitled(JobState job) {
		List<Spot> spots = this.ledger.spots(job.spec.customer());
		if (spots.isEmpty()) {
			return false;
		}
		if (job.spec.urgency() == Urgency.URGENT) {
			return true;
		}
		if (isWholeSpot(job)) {
			return true;
		}
		boolean inside = this.ledger.covers(job);
		for (Spot spot : spots) {
			if (inside && mayBreak(job, spot) && this.ledger.inside(job.spec.shape(), spot) != null) {
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
	boolean isWholeSpot(JobState job) {
		for (Spot spot : this.ledger.spots(job.spec.customer())) {
			boolean whole = spot.isVacant() ? matches(job, spot) : ownMayLeave(spot, job);
			if (spot.isPlaced() && whole) {
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
		Spot bestSpot = null;
		Evictor.Eviction best = null;
		int compared = 0;
		for (Spot spot : this.ledger.spots(job.spec.customer())) {
			List<WorkerNode> inside = mayBreak(job, spot) ? this.ledger.inside(shape, spot) : null;
			if (inside == null) {
				continue;
			}
			Evictor.Eviction eviction = this.evictor.victims(shape, inside, mayLeave(job));
			if (eviction != null && Evictor.cheaper(best, eviction) == eviction) {
				best = eviction;
				bestSpot = spot;
			}
			compared++;
			if (compared == SPOTS_COMPARED || (best != null && best.victims().isEmpty())) {
				break;
			}
		}
		if (best != null && !best.victims().isEmpty() && !mayEvict) {
			return false;
		}
		if (best != null && !best.victims().isEmpty()) {
			Spot vacant = vacantMatch(job);
			if (vacant != null && startElsewhere(job, vacant, best)) {
				return true;
			}
		}
		if (best == null) {
			return mayEvict && startInsteadOfOwn(job);
		}
		launch(job, bestSpot, best);
		return true;
	}

	/**
	 * Moves the spot to room that is free, or cheaper to clear than where it lies.
	 * @param job the job
	 * @param spot the spot
	 * @param here what it would take where the spot lies
	 * @return true if so
	 */
	private boolean startElsewhere(JobState job, Spot spot, Evictor.Eviction here) {
		List<WorkerNode> before = spot.places();
		this.ledger.lift(spot);
		List<WorkerNode> free = this.placer.find(spot.shape, Room.FIRM, GuaranteeLedger.TRUSTED);
		if (free == null) {
			Evictor.Eviction cheapest = this.evictor.cheapest(spot.shape, Room.RECLAIMABLE, mayLeave(job),
					GuaranteeLedger.TRUSTED);
			free = (cheapest != null && cheapest.loss() < here.loss()) ? cheapest.workers() : null;
		}
		this.ledger.place(spot, (free != null) ? free : before);
		List<WorkerNode> inside = (free != null) ? this.ledger.inside(job.spec.shape(), spot) : null;
		Evictor.Eviction eviction = (inside != null) ? this.evictor.victims(job.spec.shape(), inside, mayLeave(job))
				: null;
		if (eviction == null) {
			this.ledger.place(spot, before);
			return false;
		}
		launch(job, spot, eviction);
		return true;
	}

	/**
	 * Urgent work goes before the owner's own work that is not urgent, a gang for which
	 * the spot was given before the owner's small work in it.
	 * @param job the job
	 * @return true if so
	 */
	private boolean startInsteadOfOwn(JobState job) {
		for (Spot spot : this.ledger.spots(job.spec.customer())) {
			if (!spot.isPlaced() || !ownMayLeave(spot, job)) {
				continue;
			}
			for (Gang own : List.copyOf(spot.users)) {
				this.ledger.uncharge(own);
				this.fleet.soften(own);
			}
			List<WorkerNode> inside = this.ledger.inside(job.spec.shape(), spot);
			Evictor.Eviction eviction = (inside != null) ? this.evictor.victims(job.spec.shape(), inside, mayLeave(job))
					: null;
			if (eviction != null) {
				launch(job, spot, eviction);
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
	private static Predicate<Gang> mayLeave(JobState job) {
		boolean urgent = job.spec.urgency() == Urgency.URGENT;
		return (gang) -> !gang.preemptionProtected && (urgent || !gang.job.spec.customer().equals(job.spec.customer()));
	}

	private boolean ownMayLeave(Spot spot, JobState job) {
		boolean urgent = job.spec.urgency() == Urgency.URGENT;
		if (!urgent && !isLarge(job, spot)) {
			return false;
		}
		for (Gang own : spot.users) {
			boolean may = own.job.spec.urgency() == Urgency.NORMAL && own.job.isPreemptible() && own.isActive();
			boolean small = !isLarge(own.job, spot) && !this.evictor.wasRecentlyPreempted(own);
			if (!may || !(urgent || small)) {
				return false;
			}
		}
		return covers(spot.shape, job.spec.shape());
	}

	private static boolean covers(GangShape kept, GangShape asked) {
		return asked.members() <= kept.members() && asked.perMember().fitsIn(kept.perMember())
				&& kept.adjacency().compareTo(asked.adjacency()) <= 0;
	}

	private static boolean isLarge(JobState job, Spot spot) {
		return Evictor.acceleratorEquivalents(job) * 2 >= Evictor.acceleratorEquivalents(spot.shape);
	}

	private void launch(JobState job, Spot spot, Evictor.Eviction eviction) {
		spot.lastLoss = Math.max(spot.lastLoss, eviction.loss());
		this.runner.launch(job, eviction.workers(), spot);
		this.runner.evict(eviction.victims(),
				"customer " + job.spec.customer() + " reclaims a guaranteed shape for job " + job.id);
	}

	private Spot vacantMatch(JobState job) {
		for (Spot spot : this.ledger.spots(job.spec.customer())) {
			if (spot.isVacant() && spot.isPlaced() && this.ledger.inside(job.spec.shape(), spot) != null) {
				return spot;
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
	 * @param spot the spot
	 * @return true if it may
	 */
	private boolean mayBreak(JobState job, Spot spot) {
		if (job.isPreemptible() || isLarge(job, spot)) {
			return true;
		}
		long longest = this.desk.policy.limits().agingAfter().toMillis();
		return this.desk.now - job.submittedAt > longest && !this.ledger.leavesRoom(job.spec.shape().perMember());
	}

	private boolean matches(JobState job, Spot spot) {
		return isLarge(job, spot) && this.ledger.inside(job.spec.shape(), spot) != null;
	}

}
