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
 * Makes capacity available for blocked jobs: by moving small work, by preempting
 * customers above their fair share, and by reserving workers. Runs periodically while
 * jobs wait, with a bounded amount of work per pass. Not thread-safe.
 */
final class Rescheduler {

	private static final long PASS_INTERVAL_MILLIS = 1_000;

	private static final int MAX_JOBS_EXAMINED = 12;

	private static final int MAX_JOBS_UNBLOCKED = 6;

	/**
	 * How long a small job of a guarantee's owner waits before borrowers are evicted.
	 */
	private static final long SMALL_JOB_RECLAIM_AFTER_MILLIS = 30_000;

	private static final long LARGE_JOB_DEFRAGMENT_AFTER_MILLIS = 1_000;

	private static final long SMALL_JOB_DEFRAGMENT_AFTER_MILLIS = 20_000;

	/**
	 * Jobs of at least this size, in accelerators, wait longer for capacity to become
	 * free.
	 */
	private static final double MIN_LARGE_JOB_ACCELERATORS = 8;

	private static final long FAIR_SHARE_PREEMPTION_AFTER_MILLIS = 15_000;

	/** How long work runs before it may be preempted for a smaller share. */
	private static final long MIN_RUN_BEFORE_PREEMPTION_MILLIS = 30_000;

	/** The minimum ratio of the gain of a move to its cost. */
	private static final double MIN_GAIN_COST_RATIO = 2;

	/**
	 * Expected waits are estimated poorly, so that no more than this counts as gain;
	 * beyond it, the time that capacity has already been idle decides.
	 */
	private static final double MAX_EXPECTED_WAIT_SECONDS = 60;

	/** The minimum ratio of a share to the smaller share that may preempt it. */
	private static final double MIN_SHARE_RATIO = 1.1;

	private final SchedulerContext context;

	private final Fleet fleet;

	private final WaitingJobs waiting;

	private final GangPlacer placer;

	private final Evictor evictor;

	private final GangRunner gangRunner;

	private final Dispatcher dispatcher;

	private final GuaranteeAllocator guaranteeAllocator;

	private final GuaranteedJobStarter guaranteedJobStarter;

	private final WaitingJobReservations reservations;

	private boolean passScheduled;

	Rescheduler(SchedulerContext context, Fleet fleet, WaitingJobs waiting, GangPlacer placer, Evictor evictor,
			GangRunner gangRunner, Dispatcher dispatcher, GuaranteeAllocator guaranteeAllocator,
			GuaranteedJobStarter guaranteedJobStarter, WaitingJobReservations reservations) {
		this.context = context;
		this.fleet = fleet;
		this.waiting = waiting;
		this.placer = placer;
		this.evictor = evictor;
		this.gangRunner = gangRunner;
		this.dispatcher = dispatcher;
		this.guaranteeAllocator = guaranteeAllocator;
		this.guaranteedJobStarter = guaranteedJobStarter;
		this.reservations = reservations;
	}

	/** Schedules the next pass while jobs wait. */
	void schedulePass() {
		if (this.passScheduled || this.waiting.waitingCount() == 0) {
			return;
		}
		this.passScheduled = true;
		this.context.timers.schedule(this.context.now + PASS_INTERVAL_MILLIS, () -> {
			this.passScheduled = false;
			runPass();
		});
	}

	private void runPass() {
		if (!this.context.startsAllowed) {
			return;
		}
		for (JobState overdue : this.reservations.dropObsolete()) {
			if (isAged(overdue)) {
				evictForOverdueJob(overdue);
			}
		}
		this.guaranteeAllocator.placeOrRebuild();
		int unblocked = 0;
		for (JobState job : firstBlockedJobs()) {
			if (job.queue != null && unblock(job)) {
				unblocked++;
			}
			if (unblocked == MAX_JOBS_UNBLOCKED) {
				return;
			}
		}
	}

	private List<JobState> firstBlockedJobs() {
		List<JobState> jobs = new ArrayList<>();
		for (ShapeQueue queue : this.waiting.blocked()) {
			jobs.add(queue.first());
		}
		Map<CustomerQueue, Double> shares = new HashMap<>();
		for (JobState job : jobs) {
			shares.computeIfAbsent(job.queue.customer, this.dispatcher::weightedShare);
		}
		jobs.sort(Comparator.comparing((JobState job) -> !isAged(job))
			.thenComparingDouble((job) -> shares.get(job.queue.customer))
			.thenComparingLong((job) -> job.submissionOrder));
		return (jobs.size() > MAX_JOBS_EXAMINED) ? jobs.subList(0, MAX_JOBS_EXAMINED) : jobs;
	}

	private boolean isAged(JobState job) {
		long agingAfterMillis = this.context.policy.limits().agingAfter().toMillis();
		return this.context.policy.isEnabled(JobFeature.AGING) && this.context.now - job.submittedAt > agingAfterMillis;
	}

	private boolean unblock(JobState job) {
		long waitedMillis = this.context.now - job.phaseSince;
		if (waitedMillis > SMALL_JOB_RECLAIM_AFTER_MILLIS && this.guaranteedJobStarter.start(job, true)) {
			return true;
		}
		if (evictFromReservation(job)) {
			return true;
		}
		if (waitedMillis > defragmentAfterMillis(job) && isEnabled(JobFeature.DEFRAGMENTATION) && defragment(job)) {
			return true;
		}
		if (waitedMillis > FAIR_SHARE_PREEMPTION_AFTER_MILLIS && isEnabled(JobFeature.PREEMPTION)
				&& preemptForFairShare(job)) {
			return true;
		}
		if (isEnabled(JobFeature.RESERVATION)
				&& waitedMillis > this.context.policy.limits().reservationAfter().toMillis()) {
			this.reservations.reserve(job, isAged(job));
		}
		return false;
	}

	/**
	 * Evicts the remaining work from the workers that are reserved for a job, once
	 * keeping their free capacity idle would cost more than the eviction loses.
	 * @param job the job
	 * @return true if the job was launched
	 */
	private boolean evictFromReservation(JobState job) {
		WaitingJobReservation reservation = this.reservations.get(job);
		if (reservation == null) {
			return false;
		}
		Evictor.Eviction eviction = this.evictor.cheapest(job.spec.shape(), evictionView(job),
				(gang) -> isEvictable(gang), reservation.workers()::contains);
		if (eviction == null) {
			return false;
		}
		int idleAccelerators = 0;
		for (WorkerNode worker : reservation.workers()) {
			idleAccelerators += Math.max(0, CapacityView.BORROWABLE.accelerators(worker));
		}
		double waitSeconds = Math.min(MAX_EXPECTED_WAIT_SECONDS,
				(reservation.readyAtMillis() - this.context.now) / 1000.0);
		double usableAccelerators = Math.min(idleAccelerators, Evictor.acceleratorEquivalents(job));
		job.idleAcceleratorSeconds += usableAccelerators * PASS_INTERVAL_MILLIS / 1000.0;
		if (usableAccelerators * waitSeconds + job.idleAcceleratorSeconds < eviction.loss()) {
			return false;
		}
		launch(job, eviction, "the reservation of job " + job.id + " costs more while idle than an eviction");
		return true;
	}

	private boolean isEvictable(Gang gang) {
		return !gang.preemptionProtected && gang.isActive() && !this.evictor.wasRecentlyPreempted(gang);
	}

	private static long defragmentAfterMillis(JobState job) {
		return (Evictor.acceleratorEquivalents(job) >= MIN_LARGE_JOB_ACCELERATORS) ? LARGE_JOB_DEFRAGMENT_AFTER_MILLIS
				: SMALL_JOB_DEFRAGMENT_AFTER_MILLIS;
	}

	/**
	 * Moves small work away if there is enough free capacity, but it is fragmented.
	 * @param job the job
	 * @return true if the job was launched
	 */
	private boolean defragment(JobState job) {
		if (this.fleet.slotIndex(placementView(job), job.spec.shape().perMember()).total() < job.spec.shape()
			.members()) {
			return false;
		}
		Evictor.Eviction eviction = this.evictor.cheapest(job.spec.shape(),
				(job.isPreemptible() ? CapacityView.MOVABLE : CapacityView.RECLAIMABLE),
				(gang) -> gang.isActive() && !this.evictor.wasRecentlyPreempted(gang)
						&& (gang.guaranteeReservation == null || job.isPreemptible()),
				usable(job));
		if (eviction == null) {
			return false;
		}
		job.idleAcceleratorSeconds += Evictor.acceleratorEquivalents(job) * PASS_INTERVAL_MILLIS / 1000.0;
		double waitSeconds = Math.min(MAX_EXPECTED_WAIT_SECONDS, this.reservations.expectedWaitMillis(job) / 1000.0);
		double gain = Evictor.acceleratorEquivalents(job) * waitSeconds + job.idleAcceleratorSeconds;
		if (gain < MIN_GAIN_COST_RATIO * eviction.loss() || !victimsFitElsewhere(eviction)) {
			return false;
		}
		launch(job, eviction,
				"the move makes adjacent capacity available for job " + job.id + " and the work fits elsewhere");
		return true;
	}

	private boolean victimsFitElsewhere(Evictor.Eviction eviction) {
		Set<WorkerNode> cleared = new HashSet<>(eviction.workers());
		Map<WorkerNode, ResourceSum> allocations = new HashMap<>();
		for (Gang victim : eviction.victims()) {
			Resources need = victim.job.spec.shape().perMember();
			CapacityView capacityView = placementView(victim.job);
			List<WorkerNode> workers = this.placer.findWorkers(victim.job.spec.shape(), capacityView, (worker) -> {
				ResourceSum taken = allocations.get(worker);
				boolean enoughLeft = taken == null
						|| capacityView.accelerators(worker) - taken.accelerators >= need.accelerators();
				return enoughLeft && !cleared.contains(worker);
			});
			if (workers == null) {
				return false;
			}
			for (WorkerNode worker : workers) {
				allocations.computeIfAbsent(worker, (node) -> new ResourceSum()).add(need, 1);
			}
		}
		return true;
	}

	/**
	 * Preempts work of customers with larger shares, with the least lost work first.
	 * @param job the job
	 * @return true if the job was launched
	 */
	private boolean preemptForFairShare(JobState job) {
		ResourceSum total = new ResourceSum();
		total.add(job.spec.shape().total(), 1);
		CustomerQueue owner = job.queue.customer;
		double shareAfterStart = this.dispatcher.weightedShare(owner)
				+ this.fleet.dominantShare(total) / 2 / owner.weight;
		Map<CustomerQueue, Double> shares = new HashMap<>();
		Evictor.Eviction eviction = this.evictor.cheapest(job.spec.shape(), evictionView(job),
				(gang) -> mayPreemptForFairShare(gang, shares, shareAfterStart), usable(job));
		if (eviction == null || !ownersKeepLargerShare(eviction, shareAfterStart)) {
			return false;
		}
		launch(job, eviction, "customer " + owner.id + " has a smaller share and a waiting job, " + job.id);
		return true;
	}

	private boolean mayPreemptForFairShare(Gang gang, Map<CustomerQueue, Double> shares, double shareAfterStart) {
		boolean ranLongEnough = !gang.preemptionProtected && gang.stage == Gang.Stage.RUNNING
				&& this.context.now - gang.stageSince > MIN_RUN_BEFORE_PREEMPTION_MILLIS;
		if (!ranLongEnough || !gang.job.spec.savesCheckpoints() || this.evictor.wasRecentlyPreempted(gang)) {
			return false;
		}
		CustomerQueue owner = this.waiting.customer(gang.job.spec.customer());
		return shares.computeIfAbsent(owner, this.dispatcher::weightedShare) > shareAfterStart * MIN_SHARE_RATIO;
	}

	/**
	 * Whether no preempted customer would fall below the share of the customer that
	 * preempts it.
	 * @param eviction the workers and the attempts to evict
	 * @param shareAfterStart the share of the preempting customer after its job starts
	 * @return true if every owner keeps at least that share
	 */
	private boolean ownersKeepLargerShare(Evictor.Eviction eviction, double shareAfterStart) {
		Map<CustomerQueue, ResourceSum> lostByOwner = new HashMap<>();
		for (Gang victim : eviction.victims()) {
			lostByOwner.computeIfAbsent(this.waiting.customer(victim.job.spec.customer()), (owner) -> new ResourceSum())
				.add(victim.job.spec.shape().total(), 1);
		}
		for (Map.Entry<CustomerQueue, ResourceSum> entry : lostByOwner.entrySet()) {
			CustomerQueue owner = entry.getKey();
			double shareLeft = this.dispatcher.weightedShare(owner)
					- this.fleet.dominantShare(entry.getValue()) / 2 / owner.weight;
			if (shareLeft < shareAfterStart) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Evicts all preemptible work for an aged job whose reservation is overdue, so that
	 * the job's wait is bounded regardless of the expected run times.
	 * @param job the job
	 */
	private void evictForOverdueJob(JobState job) {
		Evictor.Eviction eviction = this.evictor.cheapest(job.spec.shape(), evictionView(job),
				(gang) -> !gang.preemptionProtected && gang.isActive(), usable(job));
		if (eviction != null) {
			launch(job, eviction, "job " + job.id + " has waited longest");
		}
	}

	private void launch(JobState job, Evictor.Eviction eviction, String reason) {
		this.gangRunner.launch(job, eviction.workers(), null);
		this.reservations.drop(job);
		this.gangRunner.evict(eviction.victims(), reason);
	}

	private Predicate<WorkerNode> usable(JobState job) {
		return (worker) -> (job.isPreemptible() || this.guaranteeAllocator.allowsProtectedWork(worker))
				&& this.reservations.mayUse(job, worker, false);
	}

	private static CapacityView placementView(JobState job) {
		return job.isPreemptible() ? CapacityView.BORROWABLE : CapacityView.UNRESERVED;
	}

	private static CapacityView evictionView(JobState job) {
		return job.isPreemptible() ? CapacityView.EVICTABLE : CapacityView.RECLAIMABLE;
	}

	private boolean isEnabled(JobFeature feature) {
		return this.context.policy.isEnabled(feature);
	}

}
