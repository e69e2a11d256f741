package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;

/**
 * Reserves capacity for gangs that have waited, so that small jobs do not take each
 * worker as it becomes free. Not thread-safe.
 */
final class WaitingJobReservations {

	/** More reservations at a time would leave no capacity for backfill. */
	private static final int MAX_RESERVATIONS = 8;

	/** Share of the workers that reservations may cover; a single one may exceed it. */
	private static final double MAX_WORKER_SHARE = 0.25;

	private static final int MAX_RACKS_COMPARED = 8;

	/**
	 * How late a reservation may be before it is replaced, as a share of the expected
	 * wait.
	 */
	private static final double MAX_DELAY_RATIO = 0.5;

	/** Upper limit of the delay, since late reservations leave capacity idle. */
	private static final long MAX_DELAY_MILLIS = 30_000;

	/** How long a job gets no new reservation after one that was late. */
	private static final long RETRY_PAUSE_MILLIS = 60_000;

	private static final long MIN_EXPECTED_WAIT_MILLIS = 10_000;

	private static final long DEFAULT_EXPECTED_WAIT_MILLIS = 60_000;

	private final SchedulerContext context;

	private final Fleet fleet;

	private final RunTimeEstimator runTimes;

	private final Map<JobState, WaitingJobReservation> reservations = new LinkedHashMap<>();

	private final Map<JobState, Long> expiresAtMillis = new LinkedHashMap<>();

	WaitingJobReservations(SchedulerContext context, Fleet fleet, RunTimeEstimator runTimes) {
		this.context = context;
		this.fleet = fleet;
		this.runTimes = runTimes;
	}

	WaitingJobReservation get(JobState job) {
		return this.reservations.get(job);
	}

	/**
	 * Whether a job may use a worker that may be reserved for another job.
	 * @param job the job
	 * @param worker the worker
	 * @param backfill whether work that is expected to end in time may use reserved
	 * workers
	 * @return true if it may
	 */
	boolean mayUse(JobState job, WorkerNode worker, boolean backfill) {
		WaitingJobReservation reservation = worker.reservation;
		if (reservation == null || reservation.job() == job) {
			return true;
		}
		return backfill && this.context.now + this.runTimes.remainingMillis(job.spec, 0) <= reservation.readyAtMillis();
	}

	/**
	 * Drops the reservations of jobs that no longer wait, and those that are late.
	 * @return the waiting jobs whose reservation was late
	 */
	List<JobState> dropObsolete() {
		List<JobState> overdue = new ArrayList<>();
		for (WaitingJobReservation reservation : new ArrayList<>(this.reservations.values())) {
			boolean late = this.context.now > this.expiresAtMillis.get(reservation.job());
			if (reservation.job().queue == null || late) {
				drop(reservation.job());
			}
			if (reservation.job().queue != null && late) {
				reservation.job().noReservationBefore = this.context.now + RETRY_PAUSE_MILLIS;
				overdue.add(reservation.job());
			}
		}
		return overdue;
	}

	/**
	 * Reserves capacity for a waiting job if the limits allow another reservation.
	 * @param job the job
	 * @param mayReplaceYounger whether it may replace the reservation of a younger job
	 * when the maximum number is reached
	 */
	void reserve(JobState job, boolean mayReplaceYounger) {
		if (this.reservations.containsKey(job) || job.noReservationBefore > this.context.now) {
			return;
		}
		if (this.reservations.size() >= MAX_RESERVATIONS && !(mayReplaceYounger && dropYoungest(job))) {
			return;
		}
		WaitingJobReservation best = planBest(job);
		if (best != null && (this.reservations.isEmpty()
				|| countReservedWorkers() + best.workers().size() <= maxReservedWorkers())) {
			activate(best);
		}
	}

	/**
	 * How long a job is expected to wait if no other job is evicted.
	 * @param job the job
	 * @return the time in milliseconds
	 */
	long expectedWaitMillis(JobState job) {
		WaitingJobReservation best = planBest(job);
		return (best != null) ? Math.max(0, best.readyAtMillis() - this.context.now) : DEFAULT_EXPECTED_WAIT_MILLIS;
	}

	private int countReservedWorkers() {
		int reserved = 0;
		for (WaitingJobReservation reservation : this.reservations.values()) {
			reserved += reservation.workers().size();
		}
		return reserved;
	}

	private int maxReservedWorkers() {
		return (int) (this.fleet.workers().size() * MAX_WORKER_SHARE);
	}

	private boolean dropYoungest(JobState job) {
		JobState youngest = null;
		for (JobState other : this.reservations.keySet()) {
			if (youngest == null || other.submissionOrder > youngest.submissionOrder) {
				youngest = other;
			}
		}
		if (youngest == null || youngest.submissionOrder < job.submissionOrder) {
			return false;
		}
		drop(youngest);
		return true;
	}

	private WaitingJobReservation planBest(JobState job) {
		WaitingJobReservation best = null;
		for (List<WorkerNode> workers : candidateWorkers(job.spec.shape())) {
			WaitingJobReservation candidate = plan(job, workers);
			if (candidate != null && (best == null || candidate.readyAtMillis() < best.readyAtMillis())) {
				best = candidate;
			}
		}
		return best;
	}

	void drop(JobState job) {
		WaitingJobReservation reservation = this.reservations.remove(job);
		this.expiresAtMillis.remove(job);
		if (reservation == null) {
			return;
		}
		for (WorkerNode worker : reservation.workers()) {
			worker.reservation = null;
			this.fleet.markChanged(worker);
		}
	}

	private void activate(WaitingJobReservation reservation) {
		this.reservations.put(reservation.job(), reservation);
		long waitMillis = Math.max(MIN_EXPECTED_WAIT_MILLIS, reservation.readyAtMillis() - this.context.now);
		long maxDelayMillis = Math.min(MAX_DELAY_MILLIS, (long) (waitMillis * MAX_DELAY_RATIO));
		this.expiresAtMillis.put(reservation.job(), reservation.readyAtMillis() + maxDelayMillis);
		for (WorkerNode worker : reservation.workers()) {
			worker.reservation = reservation;
		}
		reservation.job()
			.addExplanation("Capacity is reserved for it and is expected to be free in about "
					+ Math.max(0, (reservation.readyAtMillis() - this.context.now) / 1000) + " s.");
	}

	private List<List<WorkerNode>> candidateWorkers(GangShape shape) {
		SlotIndex free = this.fleet.slotIndex(CapacityView.BORROWABLE, shape.perMember());
		SlotIndex possible = this.fleet.slotIndex(CapacityView.EVICTABLE, shape.perMember());
		List<List<WorkerNode>> found = new ArrayList<>();
		if (shape.adjacency() == Adjacency.ZONE || shape.adjacency() == Adjacency.ANY) {
			ZoneNode best = null;
			for (ZoneNode zone : this.fleet.zones()) {
				if (possible.slots(zone) >= shape.members() && (best == null || free.slots(zone) > free.slots(best))) {
					best = zone;
				}
			}
			if (best != null) {
				found.add(workersOfFreestRacks(shape, best, free, possible));
			}
			return found;
		}
		int compared = 0;
		for (long key : possible.rackKeys().tailSet(SlotIndex.minKey(shape.members()), true).descendingSet()) {
			RackNode rack = this.fleet.rack(SlotIndex.rackOrdinal(key));
			if (shape.adjacency() == Adjacency.RACK && shape.members() > 1) {
				found.add(rack.workers);
			}
			else {
				rack.workers.forEach((worker) -> found.add(List.of(worker)));
			}
			compared++;
			if (compared == MAX_RACKS_COMPARED) {
				break;
			}
		}
		return found;
	}

	private List<WorkerNode> workersOfFreestRacks(GangShape shape, ZoneNode zone, SlotIndex free, SlotIndex possible) {
		List<RackNode> racks = new ArrayList<>(zone.racks);
		racks.sort(Comparator.comparingInt((RackNode rack) -> -free.slots(rack)));
		List<WorkerNode> workers = new ArrayList<>();
		int slots = 0;
		for (RackNode rack : racks) {
			workers.addAll(rack.workers);
			slots += possible.slots(rack);
			if (slots >= 2 * shape.members()) {
				break;
			}
		}
		return workers;
	}

	/**
	 * Selects the workers that become empty soonest, as many as the gang needs.
	 * @param job the job
	 * @param workers the candidate workers
	 * @return the reservation, null if the workers are not enough
	 */
	private WaitingJobReservation plan(JobState job, List<WorkerNode> workers) {
		GangShape shape = job.spec.shape();
		List<WorkerReadiness> readiness = new ArrayList<>();
		for (WorkerNode worker : workers) {
			boolean usable = worker.isAccepting() && worker.reservation == null;
			if (usable && worker.slots(shape.perMember(), CapacityView.EVICTABLE) > 0) {
				readiness.add(new WorkerReadiness(worker, estimateEmptyAtMillis(worker)));
			}
		}
		readiness.sort(Comparator.comparingLong(WorkerReadiness::readyAtMillis));
		Set<WorkerNode> taken = new LinkedHashSet<>();
		int missing = shape.members();
		for (WorkerReadiness next : readiness) {
			taken.add(next.worker());
			missing -= next.worker().slots(shape.perMember(), CapacityView.EVICTABLE);
			if (missing <= 0) {
				return new WaitingJobReservation(job, taken, next.readyAtMillis());
			}
		}
		return null;
	}

	private long estimateEmptyAtMillis(WorkerNode worker) {
		long emptyAtMillis = this.context.now;
		for (Member member : worker.members) {
			Gang gang = member.gang;
			if (!gang.preemptionProtected || gang.guaranteeReservation != null) {
				long elapsed = this.context.now - gang.stageSince;
				emptyAtMillis = Math.max(emptyAtMillis,
						this.context.now + this.runTimes.remainingMillis(gang.job.spec, elapsed));
			}
		}
		return emptyAtMillis;
	}

	private record WorkerReadiness(WorkerNode worker, long readyAtMillis) {

	}

}
