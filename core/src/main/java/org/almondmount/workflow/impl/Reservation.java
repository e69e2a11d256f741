package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.sharing.CustomerShare;
import org.almondmount.workflow.sharing.ReservationScope;

/**
 * Capacity that is reserved for a unit which does not fit yet. Immutable.
 * <p>
 * Small units fit nearly always and would take each accelerator as it becomes free, so a
 * gang that needs a whole rack would wait forever. The first units in the placement order
 * that do not fit therefore reserve the place where they fit earliest, and until then
 * only work that ends before that time may be placed there.
 *
 * @param unit the unit
 * @param placement the reserved worker of each task
 * @param delayMillis the time until the unit fits, in milliseconds
 * @param scope whose work is held off
 */
record Reservation(WorkUnit unit, Map<TaskState, Worker> placement, long delayMillis, ReservationScope scope) {

	/**
	 * Finds the place where a unit fits earliest if no other waits.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param choices sets of workers, such as racks, one of which has to hold the unit
	 * @return the reservation, or empty if no choice would hold the unit even if empty
	 */
	static Optional<Reservation> earliest(long now, WorkUnit unit, List<List<Worker>> choices) {
		return earliest(now, unit, choices, List.of());
	}

	/**
	 * Finds the place where a unit fits earliest.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param choices sets of workers, such as racks, one of which has to hold the unit
	 * @param earlier the reservations that keep their room until their units end
	 * @return the reservation, or empty if no choice would hold the unit even if empty
	 */
	static Optional<Reservation> earliest(long now, WorkUnit unit, List<List<Worker>> choices,
			List<Reservation> earlier) {
		Reservation best = null;
		for (List<Worker> choice : choices) {
			Reservation found = within(now, unit, choice, earlier).orElse(null);
			if (found != null && (best == null || found.delayMillis < best.delayMillis)) {
				best = found;
			}
		}
		return Optional.ofNullable(best);
	}

	Reservation withScope(ReservationScope other) {
		return new Reservation(this.unit, this.placement, this.delayMillis, other);
	}

	/**
	 * Whether another unit may not take the reserved room. Guaranteed work has a time
	 * limit of its own, so only room that is reserved from all is kept from it.
	 * @param other the other unit
	 * @param share the share of its customer
	 * @return whether it would still run when the room is needed
	 */
	boolean holdsOff(WorkUnit other, CustomerShare share) {
		if (other.step().expectedMillis() <= this.delayMillis) {
			return false;
		}
		return this.scope == ReservationScope.ALL || (!other.guaranteed() && this.scope.holdsOff(share));
	}

	/**
	 * Allocates the reserved room.
	 * @param capacity the capacity to take it from
	 */
	void allocate(TentativeCapacity capacity) {
		this.placement.values().forEach((worker) -> capacity.allocate(worker, this.unit.allocation()));
	}

	private static Optional<Reservation> within(long now, WorkUnit unit, List<Worker> workers,
			List<Reservation> earlier) {
		List<Release> byTime = releases(now, workers, earlier);
		int count = minReleases(unit, workers, earlier, byTime);
		if (count > byTime.size()) {
			return Optional.empty();
		}
		Map<TaskState, Worker> placement = Placer
			.fillInOrder(unit, workers, capacityAfter(earlier, byTime.subList(0, count)))
			.orElseThrow();
		return Optional.of(new Reservation(unit, placement, byTime.get(count - 1).delayMillis(), ReservationScope.ALL));
	}

	private static List<Release> releases(long now, List<Worker> workers, List<Reservation> earlier) {
		List<Release> releases = new ArrayList<>();
		for (Worker worker : workers) {
			worker.runs()
				.forEach((run) -> releases.add(new Release(worker, run.allocation(), run.remainingMillis(now))));
		}
		Set<Worker> known = earlier.isEmpty() ? Set.of() : new HashSet<>(workers);
		for (Reservation reservation : earlier) {
			long delay = reservation.delayMillis + reservation.unit.step().expectedMillis();
			reservation.placement.values()
				.stream()
				.filter(known::contains)
				.forEach((worker) -> releases.add(new Release(worker, reservation.unit.allocation(), delay)));
		}
		releases.sort(Comparator.comparingLong(Release::delayMillis));
		return releases;
	}

	// Free capacity only grows with each release, so the first one after which the unit
	// fits can be found by binary search.
	private static int minReleases(WorkUnit unit, List<Worker> workers, List<Reservation> earlier,
			List<Release> byTime) {
		int low = 1;
		int high = byTime.size() + 1;
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (capacityAfter(earlier, byTime.subList(0, middle)).canPlaceAll(workers, unit)) {
				high = middle;
			}
			else {
				low = middle + 1;
			}
		}
		return low;
	}

	private static TentativeCapacity capacityAfter(List<Reservation> earlier, List<Release> releases) {
		TentativeCapacity capacity = TentativeCapacity.available();
		earlier.forEach((reservation) -> reservation.allocate(capacity));
		releases.forEach((release) -> capacity.release(release.worker(), release.amount()));
		return capacity;
	}

	/**
	 * Room that becomes free, because a run ends or a unit with an earlier reservation.
	 *
	 * @param worker the worker
	 * @param amount the room
	 * @param delayMillis the estimated time until then, in milliseconds
	 */
	private record Release(Worker worker, ResourceAmount amount, long delayMillis) {
	}

}
