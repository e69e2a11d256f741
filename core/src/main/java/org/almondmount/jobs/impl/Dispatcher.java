package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.almondmount.jobs.JobFeature;
import org.almondmount.model.CustomerId;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;

/**
 * Gives waiting jobs their places, in the order of the policy. Not thread-safe.
 */
final class Dispatcher {

	/**
	 * Most placements for one event: a burst must not hold up the event behind it.
	 */
	private static final int PLACEMENTS_AN_EVENT = 16;

	/** Above this many changed workers every waiting shape is tried again. */
	private static final int FEW_WORKERS = 24;

	/** How long a job keeps away from workers on which it failed. */
	private static final long AVOID_MILLIS = 60_000;

	/** Work without accelerators keeps to spare cores for so long. */
	private static final long SPARE_CORES_MILLIS = 10_000;

	/** The share of a worker's cores that is kept for its free accelerators. */
	private static final double CORES_KEPT = 0.75;

	private final Desk desk;

	private final Fleet fleet;

	private final WaitingJobs waiting;

	private final GangRunner runner;

	private final GangPlacer placer;

	private final GuaranteeAllocator ledger;

	private final GuaranteedJobStarter guaranteed;

	private final WaitingJobReservations reservations;

	Dispatcher(Desk desk, Fleet fleet, WaitingJobs waiting, GangRunner runner, GangPlacer placer,
			GuaranteeAllocator ledger, GuaranteedJobStarter guaranteed, WaitingJobReservations reservations) {
		this.desk = desk;
		this.fleet = fleet;
		this.waiting = waiting;
		this.runner = runner;
		this.placer = placer;
		this.ledger = ledger;
		this.guaranteed = guaranteed;
		this.reservations = reservations;
	}

	void run() {
		if (!this.desk.startsAllowed) {
			return;
		}
		openWhatMayFit();
		for (int placed = 0; placed < PLACEMENTS_AN_EVENT; placed++) {
			if (!placeOne()) {
				return;
			}
		}
		this.desk.timers.at(this.desk.now, () -> {
		});
	}

	/**
	 * Starts a job where there is room for it now.
	 * @param job the job
	 * @return whether it was started
	 */
	boolean start(JobState job) {
		boolean wholeSpot = this.guaranteed.fillsVacantReservation(job);
		if (wholeSpot && this.guaranteed.start(job, !isHurried(job))) {
			return true;
		}
		List<WorkerNode> places = findPlaces(job);
		if (places == null) {
			return (wholeSpot || this.guaranteed.mayReclaimImmediately(job)) && this.guaranteed.start(job, true);
		}
		this.runner.launch(job, places, null);
		this.reservations.drop(job);
		return true;
	}

	// An urgent task would wait for a borrower's checkpoint although room is free that is
	// no spot of its owner; it takes that room, and has others leave only without it.
	private static boolean isHurried(JobState job) {
		return job.spec.urgency() == Urgency.URGENT && job.spec.shape().members() == 1;
	}

	/**
	 * What a customer has and had lately, over its weight. What it had counts as well, so
	 * that a customer whose gangs are larger than its share gets its turn in the mean.
	 * @param customer the customer
	 * @return the result
	 */
	double received(CustomerQueue customer) {
		double share = this.fleet.dominantShare(customer.used);
		return (share + customer.average(this.desk.now, share)) / 2 / customer.weight;
	}

	private void openWhatMayFit() {
		for (CustomerId customer : this.ledger.takeChangedCustomers()) {
			this.waiting.open(customer);
		}
		List<WorkerNode> grown = this.fleet.takeChangedWorkers();
		if (grown.isEmpty()) {
			return;
		}
		this.ledger.placeOrRebuild();
		if (grown.size() > FEW_WORKERS) {
			this.waiting.openAll();
		}
		else {
			this.waiting.openFitting(this.fleet, grown);
		}
	}

	private boolean placeOne() {
		while (true) {
			ShapeQueue next = next();
			if (next == null) {
				return false;
			}
			if (start(next.first())) {
				return true;
			}
			this.waiting.block(next);
		}
	}

	private ShapeQueue next() {
		ShapeQueue best = null;
		Turn bestTurn = null;
		for (ShapeQueue queue : new ArrayList<>(this.waiting.open())) {
			JobState job = queue.first();
			boolean entitled = queue.isEntitled(this.guaranteed);
			if (!entitled && !queue.fitsSomewhere(this.fleet)) {
				this.waiting.block(queue);
				continue;
			}
			if (!this.desk.policy.has(JobFeature.BACKFILL) && !entitled && queue.customer.firstOrder() < job.order) {
				this.waiting.block(queue);
				continue;
			}
			Turn turn = turn(queue, job, entitled);
			if (bestTurn == null || turn.compareTo(bestTurn) < 0) {
				best = queue;
				bestTurn = turn;
			}
		}
		return best;
	}

	private Turn turn(ShapeQueue queue, JobState job, boolean entitled) {
		double share = this.desk.policy.has(JobFeature.FAIR_SHARE) ? received(queue.customer) : 0;
		return new Turn(entitled, queue.key.urgent(), share, job.order);
	}

	private List<WorkerNode> findPlaces(JobState job) {
		Predicate<WorkerNode> allowed = allowed(job);
		WaitingJobReservation own = this.reservations.get(job);
		if (own != null) {
			CapacityView room = job.isPreemptible() ? CapacityView.BORROWABLE : CapacityView.UNRESERVED;
			List<WorkerNode> places = this.placer.findWorkers(job.spec.shape(), room, own.workers()::contains);
			if (places != null) {
				return places;
			}
		}
		boolean keepSpots = this.desk.policy.has(JobFeature.SPOT_KEEPING);
		if (keepSpots || !job.isPreemptible()) {
			List<WorkerNode> places = this.placer.findWorkers(job.spec.shape(), CapacityView.UNRESERVED, allowed);
			if (places != null || !job.isPreemptible()) {
				return places;
			}
		}
		return this.placer.findWorkers(job.spec.shape(), CapacityView.BORROWABLE, allowed);
	}

	private Predicate<WorkerNode> allowed(JobState job) {
		boolean backfill = this.desk.policy.has(JobFeature.BACKFILL);
		boolean avoid = this.desk.now - job.since < AVOID_MILLIS;
		boolean alone = job.spec.shape().members() == 1;
		boolean firm = !job.isPreemptible();
		Resources need = job.spec.shape().perMember();
		boolean spare = need.accelerators() == 0 && this.desk.now - job.since < SPARE_CORES_MILLIS;
		return (worker) -> (!spare || leavesCores(worker, need)) && (alone || !worker.probation)
				&& (!avoid || !job.avoids(worker.info.id())) && (!firm || this.ledger.allowsProtectedWork(worker))
				&& this.reservations.mayUse(job, worker, backfill);
	}

	/**
	 * Whether a task without accelerators leaves enough cores for the accelerators that
	 * are free. Without this, such tasks take all cores of a worker whose accelerators
	 * then nobody can use.
	 * @param worker the worker
	 * @param need what each task needs
	 * @return true if so
	 */
	private static boolean leavesCores(WorkerNode worker, Resources need) {
		int accelerators = worker.capacity().accelerators();
		if (accelerators == 0) {
			return true;
		}
		double each = CORES_KEPT * worker.capacity().cores() / accelerators;
		return CapacityView.FREE.cores(worker) - need.cores() >= each * CapacityView.FREE.accelerators(worker);
	}

	/**
	 * Where the first job of a shape stands in the order: what may have others leave,
	 * then the customer with the smallest share, then its urgent work, then submission.
	 */
	private record Turn(boolean entitled, boolean urgent, double share, long order) implements Comparable<Turn> {

		@Override
		public int compareTo(Turn other) {
			if (this.entitled != other.entitled) {
				return this.entitled ? -1 : 1;
			}
			if (this.entitled && this.urgent != other.urgent) {
				return this.urgent ? -1 : 1;
			}
			int byShare = Double.compare(this.share, other.share);
			if (byShare != 0) {
				return byShare;
			}
			if (this.urgent != other.urgent) {
				return this.urgent ? -1 : 1;
			}
			return Long.compare(this.order, other.order);
		}

	}

}
