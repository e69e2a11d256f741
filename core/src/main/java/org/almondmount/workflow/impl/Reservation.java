package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Room that is kept for a unit which does not fit yet. Immutable.
 * <p>
 * Small units fit nearly always and would take each accelerator that becomes free; a gang
 * that needs a rack would wait for ever. So the first units in the order that do not fit
 * have the place where they fit earliest kept for them, and only what ends before that
 * time may be placed there meanwhile.
 *
 * @param unit the unit
 * @param placement where it will go
 * @param inMillis in how many milliseconds it will fit there
 */
record Reservation(WorkUnit unit, Map<TaskState, Worker> placement, long inMillis) {

	/**
	 * Finds the place where a unit fits earliest.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param choices sets of workers, such as racks, of which one is to hold it
	 * @return the reservation, or empty where no choice would hold it even if empty
	 */
	static Optional<Reservation> earliest(long now, WorkUnit unit, List<List<Worker>> choices) {
		Reservation best = null;
		for (List<Worker> choice : choices) {
			Reservation found = within(now, unit, choice).orElse(null);
			if (found != null && (best == null || found.inMillis < best.inMillis)) {
				best = found;
			}
		}
		return Optional.ofNullable(best);
	}

	private static Optional<Reservation> within(long now, WorkUnit unit, List<Worker> workers) {
		List<Run> byEnd = new ArrayList<>();
		workers.forEach((worker) -> byEnd.addAll(worker.runs()));
		byEnd.sort(Comparator.comparingLong((run) -> run.leftMillis(now)));
		Rooms ended = new Rooms();
		for (Run run : byEnd) {
			ended.give(run.worker(), run.room());
			Optional<Map<TaskState, Worker>> placement = Placer.fillInOrder(unit, workers, copy(ended, workers));
			if (placement.isPresent()) {
				return Optional.of(new Reservation(unit, new LinkedHashMap<>(placement.get()), run.leftMillis(now)));
			}
		}
		return Optional.empty();
	}

	private static Rooms copy(Rooms rooms, List<Worker> workers) {
		Rooms copy = new Rooms();
		workers.forEach((worker) -> copy.give(worker, rooms.free(worker).minus(worker.free())));
		return copy;
	}

}
