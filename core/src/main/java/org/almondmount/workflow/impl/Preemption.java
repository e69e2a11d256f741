package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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

	/**
	 * Chooses a placement over all of the workers, in whatever racks, and what gives way.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param workers those that it may take
	 * @param room makes the room that is there for the unit; called for each try
	 * @param mayGiveWay the runs that may be stopped
	 * @return the plan, or empty where even that would not make room
	 */
	Optional<Plan> planWithin(long now, WorkUnit unit, List<Worker> workers, Supplier<Rooms> room,
			Predicate<Run> mayGiveWay) {
		Rooms cleared = room.get();
		Set<Run> candidates = new HashSet<>();
		for (Worker worker : workers) {
			for (Run run : worker.runs()) {
				if (!run.stopping() && mayGiveWay.test(run)) {
					candidates.add(run);
				}
				if (run.stopping() || candidates.contains(run)) {
					cleared.give(worker, run.room());
				}
			}
		}
		if (!cleared.takesAll(workers, unit)) {
			return Optional.empty();
		}
		GangLosses losses = this.placer.losses(now);
		Search search = new Search(unit, room.get(), candidates, losses);
		List<Worker> cheapFirst = search.cheapFirst(workers);
		Map<TaskState, Worker> placement = Placer.fillInOrder(unit, cheapFirst, cleared).orElseThrow();
		Set<Run> victims = search.victims(placement);
		double cost = victims.stream().mapToDouble(losses::alone).sum();
		return Optional.of(new Plan(placement, victims, cost));
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

	/**
	 * One search for what gives way.
	 *
	 * @param unit what is to be placed
	 * @param free the room that is there for it
	 * @param candidates the runs that may be stopped
	 * @param losses what is lost with each
	 */
	private record Search(WorkUnit unit, Rooms free, Set<Run> candidates, GangLosses losses) {

		List<Worker> cheapFirst(List<Worker> workers) {
			Map<Worker, Double> costs = new HashMap<>();
			workers.forEach((worker) -> costs.put(worker, costOfATask(worker)));
			List<Worker> sorted = new ArrayList<>(workers);
			sorted.sort(Comparator.comparingDouble(costs::get));
			return sorted;
		}

		Set<Run> victims(Map<TaskState, Worker> placement) {
			Map<Worker, Integer> tasks = new LinkedHashMap<>();
			placement.values().forEach((worker) -> tasks.merge(worker, 1, Integer::sum));
			Set<Run> victims = new LinkedHashSet<>();
			tasks.forEach((worker, here) -> victims
				.addAll(withWholeGangs(victimsOn(worker, this.unit.room().times(here), victims))));
			return victims;
		}

		// What one task of the unit costs on a worker that is filled with as many as go
		// there.
		private double costOfATask(Worker worker) {
			ResourceAmount most = this.free.free(worker);
			for (Run run : worker.runs()) {
				most = (run.stopping() || this.candidates.contains(run)) ? most.plus(run.room()) : most;
			}
			long tasks = Math.min(this.unit.tasks().size(), most.countFitting(this.unit.room()));
			if (tasks == 0) {
				return Double.MAX_VALUE;
			}
			double cost = 0;
			for (Run run : victimsOn(worker, this.unit.room().times(tasks), Set.of())) {
				cost += this.losses.of(run);
			}
			return cost / tasks;
		}

		// Cheap runs first; then whatever turned out not to be needed is spared, the
		// dearest first: a large run that gives way at last often makes room for all the
		// small ones.
		private List<Run> victimsOn(Worker worker, ResourceAmount wanted, Set<Run> given) {
			ResourceAmount room = this.free.free(worker);
			List<Run> cheapFirst = new ArrayList<>();
			for (Run run : worker.runs()) {
				if (run.stopping() || given.contains(run)) {
					room = room.plus(run.room());
				}
				else if (this.candidates.contains(run)) {
					cheapFirst.add(run);
				}
			}
			cheapFirst.sort(Comparator.comparingDouble(this.losses::of));
			List<Run> chosen = new ArrayList<>();
			for (Run run : cheapFirst) {
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

		private static Set<Run> withWholeGangs(List<Run> victims) {
			Set<Run> whole = new LinkedHashSet<>(victims);
			for (Run victim : victims) {
				if (victim.task().step().spec().gangScheduled()) {
					victim.task().step().tasks().forEach((task) -> whole.addAll(task.openRuns()));
				}
			}
			return whole;
		}

	}

}
