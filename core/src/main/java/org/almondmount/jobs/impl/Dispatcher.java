package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.almondmount.jobs.JobFeature;
import org.almondmount.model.CustomerId;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;

/**
 * Places waiting jobs in the order defined by the policy. Not thread-safe.
 */
final class Dispatcher {

	/**
	 * The maximum number of placements per event, so that a burst does not delay the next
	 * event.
	 */
	private static final int MAX_PLACEMENTS_PER_EVENT = 16;

	/** If more workers than this changed, every waiting shape is tried again. */
	private static final int MAX_WORKERS_CHECKED_SINGLY = 24;

	/** How long a job avoids workers on which it failed. */
	private static final long FAILED_WORKER_AVOIDANCE_MILLIS = 60_000;

	/** How long work without accelerators is limited to spare cores. */
	private static final long SPARE_CORES_ONLY_MILLIS = 10_000;

	/** The share of a worker's cores that is reserved for its free accelerators. */
	private static final double CORE_SHARE_FOR_ACCELERATORS = 0.75;

	private final SchedulerContext context;

	private final Fleet fleet;

	private final WaitingJobs waiting;

	private final GangRunner gangRunner;

	private final GangPlacer placer;

	private final GuaranteeAllocator guaranteeAllocator;

	private final GuaranteedJobStarter guaranteedJobStarter;

	private final WaitingJobReservations reservations;

	Dispatcher(SchedulerContext context, Fleet fleet, WaitingJobs waiting, GangRunner gangRunner, GangPlacer placer,
			GuaranteeAllocator guaranteeAllocator, GuaranteedJobStarter guaranteedJobStarter,
			WaitingJobReservations reservations) {
		this.context = context;
		this.fleet = fleet;
		this.waiting = waiting;
		this.gangRunner = gangRunner;
		this.placer = placer;
		this.guaranteeAllocator = guaranteeAllocator;
		this.guaranteedJobStarter = guaranteedJobStarter;
		this.reservations = reservations;
	}

	void placeWaitingJobs() {
		if (!this.context.startsAllowed) {
			return;
		}
		openFittingShapes();
		for (int placed = 0; placed < MAX_PLACEMENTS_PER_EVENT; placed++) {
			if (!placeNext()) {
				return;
			}
		}
		this.context.timers.schedule(this.context.now, () -> {
		});
	}

	/**
	 * Starts a job if there is free capacity for it now.
	 * @param job the job
	 * @return whether the job was started
	 */
	boolean start(JobState job) {
		boolean fillsReservation = this.guaranteedJobStarter.fillsVacantReservation(job);
		if (fillsReservation && this.guaranteedJobStarter.start(job, !isUrgentSingleTask(job))) {
			return true;
		}
		List<WorkerNode> workers = findWorkers(job);
		if (workers == null) {
			return (fillsReservation || this.guaranteedJobStarter.mayReclaimImmediately(job))
					&& this.guaranteedJobStarter.start(job, true);
		}
		this.gangRunner.launch(job, workers, null);
		this.reservations.drop(job);
		return true;
	}

	// Without this an urgent task would wait for a borrower's checkpoint although there
	// is free capacity outside its owner's reservations. The task uses that capacity and
	// evicts borrowers only if there is none.
	private static boolean isUrgentSingleTask(JobState job) {
		return job.spec.urgency() == Urgency.URGENT && job.spec.shape().members() == 1;
	}

	/**
	 * The mean of a customer's current and recent dominant share, divided by its weight.
	 * Recent usage counts so that a customer whose gangs are larger than its share gets
	 * its share on average.
	 * @param customer the customer
	 * @return the weighted share
	 */
	double weightedShare(CustomerQueue customer) {
		double share = this.fleet.dominantShare(customer.used);
		return (share + customer.averageShare(this.context.now, share)) / 2 / customer.weight;
	}

	private void openFittingShapes() {
		for (CustomerId customer : this.guaranteeAllocator.takeChangedCustomers()) {
			this.waiting.open(customer);
		}
		List<WorkerNode> grown = this.fleet.takeChangedWorkers();
		if (grown.isEmpty()) {
			return;
		}
		this.guaranteeAllocator.placeOrRebuild();
		if (grown.size() > MAX_WORKERS_CHECKED_SINGLY) {
			this.waiting.openAll();
		}
		else {
			this.waiting.openFittingShapes(this.fleet, grown);
		}
	}

	private boolean placeNext() {
		while (true) {
			ShapeQueue next = nextQueue();
			if (next == null) {
				return false;
			}
			if (start(next.first())) {
				return true;
			}
			this.waiting.block(next);
		}
	}

	private ShapeQueue nextQueue() {
		ShapeQueue best = null;
		DispatchPriority bestPriority = null;
		for (ShapeQueue queue : new ArrayList<>(this.waiting.open())) {
			JobState job = queue.first();
			boolean mayReclaim = queue.mayReclaimImmediately(this.guaranteedJobStarter);
			if (!mayReclaim && !queue.mayFitAnywhere(this.fleet)) {
				this.waiting.block(queue);
				continue;
			}
			if (!this.context.policy.isEnabled(JobFeature.BACKFILL) && !mayReclaim
					&& queue.customer.firstSubmissionOrder() < job.submissionOrder) {
				this.waiting.block(queue);
				continue;
			}
			DispatchPriority priority = priority(queue, job, mayReclaim);
			if (bestPriority == null || priority.compareTo(bestPriority) < 0) {
				best = queue;
				bestPriority = priority;
			}
		}
		return best;
	}

	private DispatchPriority priority(ShapeQueue queue, JobState job, boolean mayReclaim) {
		double share = this.context.policy.isEnabled(JobFeature.FAIR_SHARE) ? weightedShare(queue.customer) : 0;
		return new DispatchPriority(mayReclaim, queue.key.urgent(), share, job.submissionOrder);
	}

	private List<WorkerNode> findWorkers(JobState job) {
		Predicate<WorkerNode> allowed = allowedWorkers(job);
		WaitingJobReservation ownReservation = this.reservations.get(job);
		if (ownReservation != null) {
			CapacityView capacityView = job.isPreemptible() ? CapacityView.BORROWABLE : CapacityView.UNRESERVED;
			List<WorkerNode> workers = this.placer.findWorkers(job.spec.shape(), capacityView,
					ownReservation.workers()::contains);
			if (workers != null) {
				return workers;
			}
		}
		boolean avoidReservations = this.context.policy.isEnabled(JobFeature.SPOT_KEEPING);
		if (avoidReservations || !job.isPreemptible()) {
			List<WorkerNode> workers = this.placer.findWorkers(job.spec.shape(), CapacityView.UNRESERVED, allowed);
			if (workers != null || !job.isPreemptible()) {
				return workers;
			}
		}
		return this.placer.findWorkers(job.spec.shape(), CapacityView.BORROWABLE, allowed);
	}

	private Predicate<WorkerNode> allowedWorkers(JobState job) {
		boolean backfill = this.context.policy.isEnabled(JobFeature.BACKFILL);
		boolean avoidFailedWorkers = this.context.now - job.phaseSince < FAILED_WORKER_AVOIDANCE_MILLIS;
		boolean singleMember = job.spec.shape().members() == 1;
		boolean preemptionProtected = !job.isPreemptible();
		Resources need = job.spec.shape().perMember();
		boolean spareCoresOnly = need.accelerators() == 0
				&& this.context.now - job.phaseSince < SPARE_CORES_ONLY_MILLIS;
		return (worker) -> (!spareCoresOnly || leavesEnoughCores(worker, need)) && (singleMember || !worker.probation)
				&& (!avoidFailedWorkers || !job.avoids(worker.info.id()))
				&& (!preemptionProtected || this.guaranteeAllocator.allowsProtectedWork(worker))
				&& this.reservations.mayUse(job, worker, backfill);
	}

	/**
	 * Whether a task without accelerators leaves enough cores for the free accelerators.
	 * Otherwise such tasks could take all cores of a worker and make its accelerators
	 * unusable.
	 * @param worker the worker
	 * @param need the resources of each task
	 * @return true if enough cores are left
	 */
	private static boolean leavesEnoughCores(WorkerNode worker, Resources need) {
		int accelerators = worker.capacity().accelerators();
		if (accelerators == 0) {
			return true;
		}
		double coresPerAccelerator = CORE_SHARE_FOR_ACCELERATORS * worker.capacity().cores() / accelerators;
		return CapacityView.FREE.cores(worker) - need.cores() >= coresPerAccelerator
				* CapacityView.FREE.accelerators(worker);
	}

	/**
	 * The priority of the first job of a shape: first jobs that may reclaim reserved
	 * capacity (urgent ones first), then by smallest share of the customer, then urgent
	 * jobs, then by submission.
	 */
	private record DispatchPriority(boolean mayReclaim, boolean urgent, double share,
			long submissionOrder) implements Comparable<DispatchPriority> {

		@Override
		public int compareTo(DispatchPriority other) {
			if (this.mayReclaim != other.mayReclaim) {
				return this.mayReclaim ? -1 : 1;
			}
			if (this.mayReclaim && this.urgent != other.urgent) {
				return this.urgent ? -1 : 1;
			}
			int byShare = Double.compare(this.share, other.share);
			if (byShare != 0) {
				return byShare;
			}
			if (this.urgent != other.urgent) {
				return this.urgent ? -1 : 1;
			}
			return Long.compare(this.submissionOrder, other.submissionOrder);
		}

	}

}
