package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

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
 */
record Reservation(WorkUnit unit, Map<TaskState, Worker> placement, long delayMillis) {

	/**
	 * Finds the place where a unit fits earliest, with all capacity that is free.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param choices sets of workers, such as racks, one of which has to hold the unit
	 * @return the reservation, or empty if no choice would hold the unit after all runs
	 * that end
	 */
	static Optional<Reservation> earliest(long now, WorkUnit unit, List<List<Worker>> choices) {
		return earliest(now, unit, choices, TentativeCapacity::available);
	}

	/**
	 * Finds the place where a unit fits earliest.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param choices sets of workers, such as racks, one of which has to hold the unit
	 * @param capacities supplies the capacity that is available to the unit now
	 * @return the reservation, or empty if no choice would hold the unit after all runs
	 * that end
	 */
	static Optional<Reservation> earliest(long now, WorkUnit unit, List<List<Worker>> choices,
			Supplier<TentativeCapacity> capacities) {
		Reservation best = null;
		for (List<Worker> choice : choices) {
			Reservation found = within(now, unit, choice, capacities).orElse(null);
			if (found != null && (best == null || found.delayMillis < best.delayMillis)) {
				best = found;
			}
		}
		return Optional.ofNullable(best);
	}

	private static Optional<Reservation> within(long now, WorkUnit unit, List<Worker> workers,
			Supplier<TentativeCapacity> capacities) {
		List<RunEnd> byEnd = new ArrayList<>();
		for (Worker worker : workers) {
			worker.runs()
				.stream()
				.filter(Run::isExpectedToEnd)
				.forEach((run) -> byEnd.add(new RunEnd(run, run.remainingMillis(now))));
		}
		byEnd.sort(Comparator.comparingLong(RunEnd::delayMillis));
		int endedCount = minEndedRuns(unit, workers, byEnd, capacities);
		if (endedCount > byEnd.size()) {
			return Optional.empty();
		}
		Map<TaskState, Worker> placement = Placer
			.fillInOrder(unit, workers, capacityAfter(byEnd.subList(0, endedCount), capacities.get()))
			.orElseThrow();
		return Optional.of(new Reservation(unit, placement, byEnd.get(endedCount - 1).delayMillis()));
	}

	// Free capacity only grows with each run that ends, so the first end after which the
	// unit fits can be found by binary search.
	private static int minEndedRuns(WorkUnit unit, List<Worker> workers, List<RunEnd> byEnd,
			Supplier<TentativeCapacity> capacities) {
		int low = 1;
		int high = byEnd.size() + 1;
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (capacityAfter(byEnd.subList(0, middle), capacities.get()).canPlaceAll(workers, unit)) {
				high = middle;
			}
			else {
				low = middle + 1;
			}
		}
		return low;
	}

	private static TentativeCapacity capacityAfter(List<RunEnd> endedRuns, TentativeCapacity capacity) {
		endedRuns.forEach((end) -> capacity.release(end.run().worker(), end.run().allocation()));
		return capacity;
	}

	/**
	 * A run with its estimated end.
	 *
	 * @param run the run
	 * @param delayMillis the time until the estimated end, in milliseconds
	 */
	private record RunEnd(Run run, long delayMillis) {
	}

}
