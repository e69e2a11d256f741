package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
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
		List<RunEnd> byEnd = new ArrayList<>();
		for (Worker worker : workers) {
			worker.runs().forEach((run) -> byEnd.add(new RunEnd(run, run.leftMillis(now))));
		}
		byEnd.sort(Comparator.comparingLong(RunEnd::inMillis));
		int ended = fewestEnds(unit, workers, byEnd);
		if (ended > byEnd.size()) {
			return Optional.empty();
		}
		Map<TaskState, Worker> placement = Placer.fillInOrder(unit, workers, roomAfter(byEnd.subList(0, ended)))
			.orElseThrow();
		return Optional.of(new Reservation(unit, placement, byEnd.get(ended - 1).inMillis()));
	}

	// The more has ended the more room there is, so the first end after which the unit
	// fits can be found by halving.
	private static int fewestEnds(WorkUnit unit, List<Worker> workers, List<RunEnd> byEnd) {
		int least = 1;
		int beyond = byEnd.size() + 1;
		while (least < beyond) {
			int middle = (least + beyond) >>> 1;
			if (roomAfter(byEnd.subList(0, middle)).takesAll(workers, unit)) {
				beyond = middle;
			}
			else {
				least = middle + 1;
			}
		}
		return least;
	}

	private static Rooms roomAfter(List<RunEnd> ended) {
		Rooms rooms = Rooms.free();
		ended.forEach((end) -> rooms.give(end.run().worker(), end.run().room()));
		return rooms;
	}

	/**
	 * A run and when it will probably be over.
	 *
	 * @param run the run
	 * @param inMillis in how many milliseconds
	 */
	private record RunEnd(Run run, long inMillis) {
	}

}
