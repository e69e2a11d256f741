package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.almondmount.jobs.JobFeature;
import org.almondmount.model.Resources;

/**
 * Helps jobs that find no room although they should: by moving small work, by having
 * customers above their share give way, by reserving. Runs at a steady pace while jobs
 * wait, with bounded work each time. Not thread-safe.
 */
final class Relief {

	private static final long PACE_MILLIS = 1_000;

	private static final int EXAMINED = 12;

	private static final int HELPED = 6;

	/**
	 * How long a small job of a guarantee's owner waits before borrowers have to leave.
	 */
	private static final long SMALL_RECLAIM_MILLIS = 30_000;

	private static final long DEFRAGMENT_MILLIS = 1_000;

	private static final long DEFRAGMENT_SMALL_MILLIS = 20_000;

	/** From this size on, in accelerators, work has to wait longer for room by itself. */
	private static final double LARGE = 8;

	private static final long FAIR_SHARE_MILLIS = 15_000;

	/** How long work is left alone before it has to give way to a smaller share. */
	private static final long SHORTEST_TURN_MILLIS = 30_000;

	/** How much better a move has to be than what it costs. */
	private static final double GAIN_OVER_COST = 2;

	/**
	 * Waits are foreseen badly, so that no more than this counts as gained; beyond it,
	 * what room has already stood idle decides.
	 */
	private static final double LONGEST_GAIN_SECONDS = 60;

	/** How much larger a share has to be before it gives way. */
	private static final double LARGER_SHARE = 1.1;

	private final Desk desk;

	private final Fleet fleet;

	private final WaitingJobs waiting;

	private final GangPlacer placer;

	private final Evictor evictor;

	private final GangRunner runner;

	private final Dispatcher dispatcher;

	private final GuaranteeAllocator ledger;

	private final GuaranteedJobStarter guaranteed;

	private final WaitingJobReservations reservations;

	private boolean ticking;

	Relief(Desk desk, Fleet fleet, WaitingJobs waiting, GangPlacer placer, Evictor evictor, GangRunner runner,
			Dispatcher dispatcher, GuaranteeAllocator ledger, GuaranteedJobStarter guaranteed,
			WaitingJobReservations reservations) {
		this.desk = desk;
		this.fleet = fleet;
		this.waiting = waiting;
		this.placer = placer;
		this.evictor = evictor;
		this.runner = runner;
		this.dispatcher = dispatcher;
		this.ledger = ledger;
		this.guaranteed = guaranteed;
		this.reservations = reservations;
	}

	/** Keeps the pace going while jobs wait. */
	void keepPace() {
		if (this.ticking || this.waiting.waiting() == 0) {
			return;
		}
		this.ticking = true;
		this.desk.timers.at(this.desk.now + PACE_MILLIS, () -> {
			this.ticking = false;
			tick();
		});
	}

	private void tick() {
		if (!this.desk.startsAllowed) {
			return;
		}
		for (JobState late : this.reservations.dropObsolete()) {
			if (isAged(late)) {
				clearFor(late);
			}
		}
		this.ledger.placeOrRebuild();
		int helped = 0;
		for (JobState job : heads()) {
			if (job.queue != null && help(job)) {
				helped++;
			}
			if (helped == HELPED) {
				return;
			}
		}
	}

	private List<JobState> heads() {
		List<JobState> heads = new ArrayList<>();
		for (ShapeQueue queue : this.waiting.blocked()) {
			heads.add(queue.first());
		}
		Map<CustomerQueue, Double> shares = new HashMap<>();
		for (JobState job : heads) {
			shares.computeIfAbsent(job.queue.customer, this.dispatcher::received);
		}
		heads.sort(Comparator.comparing((JobState job) -> !isAged(job))
			.thenComparingDouble((job) -> shares.get(job.queue.customer))
			.thenComparingLong((job) -> job.order));
		return (heads.size() > EXAMINED) ? heads.subList(0, EXAMINED) : heads;
	}

	private boolean isAged(JobState job) {
		long aged = this.desk.policy.limits().agingAfter().toMillis();
		return this.desk.policy.has(JobFeature.AGING) && this.desk.now - job.submittedAt > aged;
	}

	private boolean help(JobState job) {
		long waited = this.desk.now - job.since;
		if (waited > SMALL_RECLAIM_MILLIS && this.guaranteed.start(job, true)) {
			return true;
		}
		if (clearReserved(job)) {
			return true;
		}
		if (waited > defragmentAfter(job) && has(JobFeature.DEFRAGMENTATION) && defragment(job)) {
			return true;
		}
		if (waited > FAIR_SHARE_MILLIS && has(JobFeature.PREEMPTION) && takeFairShare(job)) {
			return true;
		}
		if (has(JobFeature.RESERVATION) && waited > this.desk.policy.limits().reservationAfter().toMillis()) {
			this.reservations.reserve(job, isAged(job));
		}
		return false;
	}

	/**
	 * Clears the room that is reserved for a job once leaving what is free of it idle
	 * would cost more than what the rest loses by leaving.
	 * @param job the job
	 * @return true if so
	 */
	private boolean clearReserved(JobState job) {
		WaitingJobReservation reservation = this.reservations.get(job);
		if (reservation == null) {
			return false;
		}
		Evictor.Eviction eviction = this.evictor.cheapest(job.spec.shape(), clearable(job), (gang) -> mayMakeWay(gang),
				reservation.workers()::contains);
		if (eviction == null) {
			return false;
		}
		int idle = 0;
		for (WorkerNode worker : reservation.workers()) {
			idle += Math.max(0, CapacityView.BORROWABLE.accelerators(worker));
		}
		double wait = Math.min(LONGEST_GAIN_SECONDS, (reservation.readyAtMillis() - this.desk.now) / 1000.0);
		double used = Math.min(idle, Evictor.size(job));
		job.idled += used * PACE_MILLIS / 1000.0;
		if (used * wait + job.idled < eviction.loss()) {
			return false;
		}
		launch(job, eviction, "the room that is kept for job " + job.id + " costs more idle than cleared");
		return true;
	}

	private boolean mayMakeWay(Gang gang) {
		return !gang.firm && gang.isActive() && !this.evictor.movedLately(gang);
	}

	private static long defragmentAfter(JobState job) {
		return (Evictor.size(job) >= LARGE) ? DEFRAGMENT_MILLIS : DEFRAGMENT_SMALL_MILLIS;
	}

	/**
	 * Moves small work away where enough is free, but not together.
	 * @param job the job
	 * @return true if so
	 */
	private boolean defragment(JobState job) {
		if (this.fleet.slotIndex(room(job), job.spec.shape().perMember()).total() < job.spec.shape().members()) {
			return false;
		}
		Evictor.Eviction eviction = this.evictor.cheapest(job.spec.shape(),
				(job.isPreemptible() ? CapacityView.MOVABLE : CapacityView.RECLAIMABLE), (gang) -> gang.isActive()
						&& !this.evictor.movedLately(gang) && (gang.spot == null || job.isPreemptible()),
				usable(job));
		if (eviction == null) {
			return false;
		}
		job.idled += Evictor.size(job) * PACE_MILLIS / 1000.0;
		double wait = Math.min(LONGEST_GAIN_SECONDS, this.reservations.expectedWaitMillis(job) / 1000.0);
		double gain = Evictor.size(job) * wait + job.idled;
		if (gain < GAIN_OVER_COST * eviction.loss() || !fitElsewhere(eviction)) {
			return false;
		}
		launch(job, eviction, "it makes adjacent room for job " + job.id + " and fits elsewhere");
		return true;
	}

	private boolean fitElsewhere(Evictor.Eviction eviction) {
		Set<WorkerNode> cleared = new HashSet<>(eviction.places());
		Map<WorkerNode, ResourceSum> promised = new HashMap<>();
		for (Gang victim : eviction.victims()) {
			Resources need = victim.job.spec.shape().perMember();
			CapacityView room = room(victim.job);
			List<WorkerNode> places = this.placer.findWorkers(victim.job.spec.shape(), room, (worker) -> {
				ResourceSum taken = promised.get(worker);
				boolean left = taken == null || room.accelerators(worker) - taken.accelerators >= need.accelerators();
				return left && !cleared.contains(worker);
			});
			if (places == null) {
				return false;
			}
			for (WorkerNode worker : places) {
				promised.computeIfAbsent(worker, (node) -> new ResourceSum()).add(need, 1);
			}
		}
		return true;
	}

	/**
	 * Has customers with larger shares give way, least lost work first.
	 * @param job the job
	 * @return true if so
	 */
	private boolean takeFairShare(JobState job) {
		ResourceSum total = new ResourceSum();
		total.add(job.spec.shape().total(), 1);
		CustomerQueue mine = job.queue.customer;
		double after = this.dispatcher.received(mine) + this.fleet.dominantShare(total) / 2 / mine.weight;
		Map<CustomerQueue, Double> shares = new HashMap<>();
		Evictor.Eviction eviction = this.evictor.cheapest(job.spec.shape(), clearable(job),
				(gang) -> mayGiveWay(gang, shares, after), usable(job));
		if (eviction == null || !staysAbove(eviction, after)) {
			return false;
		}
		launch(job, eviction, "customer " + mine.id + " has a smaller share and waits with job " + job.id);
		return true;
	}

	private boolean mayGiveWay(Gang gang, Map<CustomerQueue, Double> shares, double after) {
		boolean settled = !gang.firm && gang.stage == Gang.Stage.RUNNING
				&& this.desk.now - gang.stageSince > SHORTEST_TURN_MILLIS;
		if (!settled || !gang.job.spec.checkpoints() || this.evictor.movedLately(gang)) {
			return false;
		}
		CustomerQueue owner = this.waiting.customer(gang.job.spec.customer());
		return shares.computeIfAbsent(owner, this.dispatcher::received) > after * LARGER_SHARE;
	}

	/**
	 * Nobody may fall below the share of the one that it gives way to.
	 * @param eviction the place and who has to leave
	 * @param after the share of the one that they give way to
	 * @return true if so
	 */
	private boolean staysAbove(Evictor.Eviction eviction, double after) {
		Map<CustomerQueue, ResourceSum> lost = new HashMap<>();
		for (Gang victim : eviction.victims()) {
			lost.computeIfAbsent(this.waiting.customer(victim.job.spec.customer()), (owner) -> new ResourceSum())
				.add(victim.job.spec.shape().total(), 1);
		}
		for (Map.Entry<CustomerQueue, ResourceSum> entry : lost.entrySet()) {
			CustomerQueue owner = entry.getKey();
			double left = this.dispatcher.received(owner)
					- this.fleet.dominantShare(entry.getValue()) / 2 / owner.weight;
			if (left < after) {
				return false;
			}
		}
		return true;
	}

	/**
	 * The reserved room of an old job is late: whoever may be preempted has to leave now,
	 * so that a job's wait has a bound whatever run times were expected.
	 * @param job the job
	 */
	private void clearFor(JobState job) {
		Evictor.Eviction eviction = this.evictor.cheapest(job.spec.shape(), clearable(job),
				(gang) -> !gang.firm && gang.isActive(), usable(job));
		if (eviction != null) {
			launch(job, eviction, "job " + job.id + " has waited longest");
		}
	}

	private void launch(JobState job, Evictor.Eviction eviction, String why) {
		this.runner.launch(job, eviction.places(), null);
		this.reservations.drop(job);
		this.runner.evict(eviction.victims(), why);
	}

	private Predicate<WorkerNode> usable(JobState job) {
		return (worker) -> (job.isPreemptible() || this.ledger.allowsProtectedWork(worker))
				&& this.reservations.mayUse(job, worker, false);
	}

	private static CapacityView room(JobState job) {
		return job.isPreemptible() ? CapacityView.BORROWABLE : CapacityView.UNRESERVED;
	}

	private static CapacityView clearable(JobState job) {
		return job.isPreemptible() ? CapacityView.EVICTABLE : CapacityView.RECLAIMABLE;
	}

	private boolean has(JobFeature feature) {
		return this.desk.policy.has(feature);
	}

}
