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
 * Keeps room for gangs that have waited, so that small work does not take each worker as
 * it falls free. Not thread-safe.
 */
final class Reservations {

	/** More at a time would leave no room to backfill. */
	private static final int MOST = 8;

	/** Beside the first, reservations cover no more than this share of the workers. */
	private static final double LARGEST_SHARE = 0.25;

	private static final int RACKS_COMPARED = 8;

	/**
	 * How late the room may be before another place is sought, as a share of the wait.
	 */
	private static final double LATE = 0.5;

	/** Room that is late stands idle meanwhile. */
	private static final long LONGEST_LATE_MILLIS = 30_000;

	/** How long a job has no other reservation after one that was late. */
	private static final long PAUSE_MILLIS = 60_000;

	private static final long SHORTEST_WAIT_MILLIS = 10_000;

	private static final long UNKNOWN_WAIT_MILLIS = 60_000;

	private final SchedulerContext desk;

	private final Fleet fleet;

	private final RunTimeEstimator runTimes;

	private final Map<JobState, Reservation> reservations = new LinkedHashMap<>();

	private final Map<JobState, Long> replanAt = new LinkedHashMap<>();

	Reservations(SchedulerContext desk, Fleet fleet, RunTimeEstimator runTimes) {
		this.desk = desk;
		this.fleet = fleet;
		this.runTimes = runTimes;
	}

	Reservation of(JobState job) {
		return this.reservations.get(job);
	}

	/**
	 * Whether a job may use a worker although it is reserved for another.
	 * @param job the job
	 * @param worker the worker
	 * @param backfill whether work that ends in time may
	 * @return true if it may
	 */
	boolean allows(JobState job, WorkerNode worker, boolean backfill) {
		Reservation reservation = worker.reservation;
		if (reservation == null || reservation.job() == job) {
			return true;
		}
		return backfill && this.desk.now + this.runTimes.remainingMillis(job.spec, 0) <= reservation.readyAt();
	}

	/**
	 * Drops the reservations of jobs that do not wait any more, or whose room is late.
	 * @return the jobs that wait and whose room is late
	 */
	List<JobState> review() {
		List<JobState> overdue = new ArrayList<>();
		for (Reservation reservation : new ArrayList<>(this.reservations.values())) {
			boolean late = this.desk.now > this.replanAt.get(reservation.job());
			if (reservation.job().queue == null || late) {
				drop(reservation.job());
			}
			if (reservation.job().queue != null && late) {
				reservation.job().noReservationBefore = this.desk.now + PAUSE_MILLIS;
				overdue.add(reservation.job());
			}
		}
		return overdue;
	}

	/**
	 * Reserves room for a waiting job, if reservations are left.
	 * @param job the job
	 * @param first whether it goes before younger ones when none is left
	 */
	void reserve(JobState job, boolean first) {
		if (this.reservations.containsKey(job) || job.noReservationBefore > this.desk.now) {
			return;
		}
		if (this.reservations.size() >= MOST && !(first && dropYoungest(job))) {
			return;
		}
		Reservation best = best(job);
		if (best != null && (this.reservations.isEmpty() || reserved() + best.workers().size() <= most())) {
			keep(best);
		}
	}

	/**
	 * How long a job is expected to wait if nobody is made to leave.
	 * @param job the job
	 * @return the time in milliseconds
	 */
	long expectedWait(JobState job) {
		Reservation best = best(job);
		return (best != null) ? Math.max(0, best.readyAt() - this.desk.now) : UNKNOWN_WAIT_MILLIS;
	}

	private int reserved() {
		int reserved = 0;
		for (Reservation reservation : this.reservations.values()) {
			reserved += reservation.workers().size();
		}
		return reserved;
	}

	private int most() {
		return (int) (this.fleet.workers().size() * LARGEST_SHARE);
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

	private Reservation best(JobState job) {
		Reservation best = null;
		for (List<WorkerNode> workers : candidates(job.spec.shape())) {
			Reservation candidate = plan(job, workers);
			if (candidate != null && (best == null || candidate.readyAt() < best.readyAt())) {
				best = candidate;
			}
		}
		return best;
	}

	void drop(JobState job) {
		Reservation reservation = this.reservations.remove(job);
		this.replanAt.remove(job);
		if (reservation == null) {
			return;
		}
		for (WorkerNode worker : reservation.workers()) {
			worker.reservation = null;
			this.fleet.changed(worker);
		}
	}

	private void keep(Reservation reservation) {
		this.reservations.put(reservation.job(), reservation);
		long wait = Math.max(SHORTEST_WAIT_MILLIS, reservation.readyAt() - this.desk.now);
		long late = Math.min(LONGEST_LATE_MILLIS, (long) (wait * LATE));
		this.replanAt.put(reservation.job(), reservation.readyAt() + late);
		for (WorkerNode worker : reservation.workers()) {
			worker.reservation = reservation;
		}
		reservation.job()
			.addExplanation("A place is kept for it and is expected to be free in about "
					+ Math.max(0, (reservation.readyAt() - this.desk.now) / 1000) + " s.");
	}

	private List<List<WorkerNode>> candidates(GangShape shape) {
		SlotIndex free = this.fleet.slots(Room.OPEN, shape.perMember());
		SlotIndex possible = this.fleet.slots(Room.EVICTABLE, shape.perMember());
		List<List<WorkerNode>> found = new ArrayList<>();
		if (shape.adjacency() == Adjacency.ZONE || shape.adjacency() == Adjacency.ANY) {
			ZoneNode best = null;
			for (ZoneNode zone : this.fleet.zones()) {
				if (possible.slots(zone) >= shape.members() && (best == null || free.slots(zone) > free.slots(best))) {
					best = zone;
				}
			}
			if (best != null) {
				found.add(mostFree(shape, best, free, possible));
			}
			return found;
		}
		int compared = 0;
		for (long key : possible.racks().tailSet(SlotIndex.atLeast(shape.members()), true).descendingSet()) {
			RackNode rack = this.fleet.rack(SlotIndex.rackOrder(key));
			if (shape.adjacency() == Adjacency.RACK && shape.members() > 1) {
				found.add(rack.workers);
			}
			else {
				rack.workers.forEach((worker) -> found.add(List.of(worker)));
			}
			compared++;
			if (compared == RACKS_COMPARED) {
				break;
			}
		}
		return found;
	}

	private List<WorkerNode> mostFree(GangShape shape, ZoneNode zone, SlotIndex free, SlotIndex possible) {
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
	 * The workers of a candidate that are free soonest, as many as the gang needs.
	 * @param job the job
	 * @param workers the workers
	 * @return the result
	 */
	private Reservation plan(JobState job, List<WorkerNode> workers) {
		GangShape shape = job.spec.shape();
		List<Ready> ready = new ArrayList<>();
		for (WorkerNode worker : workers) {
			boolean usable = worker.isAccepting() && worker.reservation == null;
			if (usable && worker.slots(shape.perMember(), Room.EVICTABLE) > 0) {
				ready.add(new Ready(worker, emptyAt(worker)));
			}
		}
		ready.sort(Comparator.comparingLong(Ready::at));
		Set<WorkerNode> taken = new LinkedHashSet<>();
		int missing = shape.members();
		for (Ready next : ready) {
			taken.add(next.worker());
			missing -= next.worker().slots(shape.perMember(), Room.EVICTABLE);
			if (missing <= 0) {
				return new Reservation(job, taken, next.at());
			}
		}
		return null;
	}

	private long emptyAt(WorkerNode worker) {
		long at = this.desk.now;
		for (Member member : worker.members) {
			Gang gang = member.gang;
			if (!gang.preemptionProtected || gang.guaranteeReservation != null) {
				long elapsed = this.desk.now - gang.stageSince;
				at = Math.max(at, this.desk.now + this.runTimes.remainingMillis(gang.job.spec, elapsed));
			}
		}
		return at;
	}

	private record Ready(WorkerNode worker, long at) {

	}

}
