package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.almondmount.workflow.ResourceAmount;

/**
 * Chooses what has to give way to a unit that finds no room. Stateless.
 * <p>
 * It answers bursts of urgent jobs that find the fleet full of work that has time. Of all
 * racks and workers that could hold the unit, those are chosen where the least work is
 * thrown away, as {@link RunWork#lossIfStopped} tells, and no run is stopped whose room
 * is not needed in the end.
 */
final class Preemption {

	private final Placer placer;

	Preemption(Placer placer) {
		this.placer = placer;
	}

	/**
	 * Chooses a placement and what gives way to it.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param workers those that may run it
	 * @param room makes the room that is there for the unit; called for each try
	 * @param mayGiveWay the runs that may be stopped
	 * @return the cheapest plan, or empty where even that would not make room
	 */
	Optional<Plan> plan(long now, WorkUnit unit, List<Worker> workers, Supplier<Rooms> room,
			Predicate<Run> mayGiveWay) {
		if (this.placer.goesInOneRack(unit, workers)) {
			Optional<Plan> inOneRack = cheapest(now, unit, this.placer.racks(unit, workers), room, mayGiveWay);
			if (inOneRack.isPresent()) {
				return inOneRack;
			}
		}
		return planWithin(now, unit, workers, room, mayGiveWay);
	}

	private Optional<Plan> cheapest(long now, WorkUnit unit, List<List<Worker>> choices, Supplier<Rooms> room,
			Predicate<Run> mayGiveWay) {
		Plan best = null;
		for (List<Worker> choice : choices) {
			Plan plan = planWithin(now, unit, choice, room, mayGiveWay).orElse(null);
			if (plan != null && (best == null || plan.cost() < best.cost())) {
				best = plan;
			}
		}
		return Optional.ofNullable(best);
	}

	private Optional<Plan> planWithin(long now, WorkUnit unit, List<Worker> workers, Supplier<Rooms> room,
			Predicate<Run> mayGiveWay) {
		Rooms rooms = room.get();
		for (Worker worker : workers) {
			for (Run run : worker.runs()) {
				if (run.stopping() || mayGiveWay.test(run)) {
					rooms.give(worker, run.room());
				}
			}
		}
		List<Worker> cheapFirst = new ArrayList<>(workers);
		Map<Worker, Double> costs = new HashMap<>();
		workers.forEach((worker) -> costs.put(worker, costOfATask(now, unit, worker, room.get(), mayGiveWay)));
		cheapFirst.sort(Comparator.comparingDouble(costs::get));
		Optional<Map<TaskState, Worker>> placement = Placer.fillInOrder(unit, cheapFirst, rooms);
		if (placement.isEmpty()) {
			return Optional.empty();
		}
		Set<Run> victims = victims(now, unit, placement.get(), room.get(), mayGiveWay);
		double cost = victims.stream().mapToDouble((run) -> RunWork.lossIfStopped(run, now)).sum();
		return Optional.of(new Plan(placement.get(), victims, cost));
	}

	private Set<Run> victims(long now, WorkUnit unit, Map<TaskState, Worker> placement, Rooms rooms,
			Predicate<Run> mayGiveWay) {
		Set<Run> victims = new LinkedHashSet<>();
		for (Worker worker : new LinkedHashSet<>(placement.values())) {
			long here = placement.values().stream().filter(worker::equals).count();
			ResourceAmount wanted = unit.room().times(here);
			victims.addAll(withWholeGangs(victimsOn(now, worker, wanted, rooms.free(worker), victims, mayGiveWay)));
		}
		return victims;
	}

	// Cheap runs first; then whatever turned out not to be needed is spared, the dearest
	// first: a large run that gives way at last often makes room for all the small ones.
	private static List<Run> victimsOn(long now, Worker worker, ResourceAmount wanted, ResourceAmount free,
			Set<Run> given, Predicate<Run> mayGiveWay) {
		ResourceAmount room = free;
		List<Run> candidates = new ArrayList<>();
		for (Run run : worker.runs()) {
			if (run.stopping() || given.contains(run)) {
				room = room.plus(run.room());
			}
			else if (mayGiveWay.test(run)) {
				candidates.add(run);
			}
		}
		candidates.sort(Comparator.comparingDouble((run) -> lossOfWholeGang(run, now)));
		List<Run> chosen = new ArrayList<>();
		for (Run run : candidates) {
			if (wanted.fitsIn(room)) {
				break;
			}
			chosen.add(run);
			room = room.plus(run.room());
		}
		for (int i = chosen.size() - 1; i >= 0; i--) {
			ResourceAmount without = room.minus(chosen.get(i).room());
			if (wanted.fitsIn(without)) {
				room = without;
				chosen.remove(i);
			}
		}
		return chosen;
	}

	// What one task of the unit costs on a worker that is filled with as many as go
	// there.
	private static double costOfATask(long now, WorkUnit unit, Worker worker, Rooms rooms, Predicate<Run> mayGiveWay) {
		ResourceAmount most = rooms.free(worker);
		for (Run run : worker.runs()) {
			most = (run.stopping() || mayGiveWay.test(run)) ? most.plus(run.room()) : most;
		}
		long tasks = Math.min(unit.tasks().size(), most.holds(unit.room()));
		if (tasks == 0) {
			return Double.MAX_VALUE;
		}
		double cost = 0;
		for (Run run : victimsOn(now, worker, unit.room().times(tasks), rooms.free(worker), Set.of(), mayGiveWay)) {
			cost += lossOfWholeGang(run, now);
		}
		return cost / tasks;
	}

	private static Set<Run> withWholeGangs(List<Run> victims) {
		Set<Run> whole = new LinkedHashSet<>(victims);
		for (Run victim : victims) {
			if (victim.task().step().spec().gang()) {
				victim.task().step().tasks().forEach((task) -> whole.addAll(task.openRuns()));
			}
		}
		return whole;
	}

	private static double lossOfWholeGang(Run run, long now) {
		double loss = 0;
		for (Run member : withWholeGangs(List.of(run))) {
			loss += RunWork.lossIfStopped(member, now);
		}
		return loss;
	}

	/**
	 * Where the unit goes and what has to end first.
	 *
	 * @param placement the worker of each task
	 * @param victims runs that give way
	 * @param cost what is thrown away, in core-seconds
	 */
	record Plan(Map<TaskState, Worker> placement, Set<Run> victims, double cost) {
	}

}
