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
 * thrown away, as {@link RunWorkSummary#lossIfStopped} tells, and no run is stopped whose
 * room is not needed in the end.
 */
final class PreemptionPlanner {

	private final Placer placer;

	PreemptionPlanner(Placer placer) {
		this.placer = placer;
	}

	/**
	 * Chooses a placement and what gives way to it.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param workers those that may run it
	 * @param capacities makes the room that is there for the unit; called for each try
	 * @param preemptible the runs that may be stopped
	 * @return the cheapest plan, or empty where even that would not make room
	 */
	Optional<Plan> plan(long now, WorkUnit unit, List<Worker> workers, Supplier<TentativeCapacity> capacities,
			Predicate<Run> preemptible) {
		if (this.placer.requiresOneRack(unit, workers)) {
			Optional<Plan> inOneRack = cheapest(now, unit, this.placer.racks(unit, workers), capacities, preemptible);
			if (inOneRack.isPresent()) {
				return inOneRack;
			}
		}
		return planWithin(now, unit, workers, capacities, preemptible);
	}

	private Optional<Plan> cheapest(long now, WorkUnit unit, List<List<Worker>> choices,
			Supplier<TentativeCapacity> capacities, Predicate<Run> preemptible) {
		Plan best = null;
		for (List<Worker> choice : choices) {
			Plan plan = planWithin(now, unit, choice, capacities, preemptible).orElse(null);
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
	 * @param capacities makes the room that is there for the unit; called for each try
	 * @param preemptible the runs that may be stopped
	 * @return the plan, or empty where even that would not make room
	 */
	Optional<Plan> planWithin(long now, WorkUnit unit, List<Worker> workers, Supplier<TentativeCapacity> capacities,
			Predicate<Run> preemptible) {
		TentativeCapacity capacity = capacities.get();
		Set<Run> candidates = new HashSet<>();
		for (Worker worker : workers) {
			for (Run run : worker.runs()) {
				if (!run.stopping() && preemptible.test(run)) {
					candidates.add(run);
				}
				if (run.stopping() || candidates.contains(run)) {
					capacity.release(worker, run.allocation());
				}
			}
		}
		if (!capacity.canPlaceAll(workers, unit)) {
			return Optional.empty();
		}
		WorkLossEstimator lossEstimator = this.placer.lossEstimator(now);
		VictimSearch search = new VictimSearch(unit, capacities.get(), candidates, lossEstimator);
		List<Worker> cheapestFirst = search.sortByCost(workers);
		Map<TaskState, Worker> placement = Placer.fillInOrder(unit, cheapestFirst, capacity).orElseThrow();
		Set<Run> victims = search.victims(placement);
		double cost = victims.stream().mapToDouble(lossEstimator::lossOfRun).sum();
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
	 * @param lossEstimator what is lost with each
	 */
	private record VictimSearch(WorkUnit unit, TentativeCapacity free, Set<Run> candidates,
			WorkLossEstimator lossEstimator) {

		List<Worker> sortByCost(List<Worker> workers) {
			Map<Worker, Double> costs = new HashMap<>();
			workers.forEach((worker) -> costs.put(worker, costPerTask(worker)));
			List<Worker> sorted = new ArrayList<>(workers);
			sorted.sort(Comparator.comparingDouble(costs::get));
			return sorted;
		}

		Set<Run> victims(Map<TaskState, Worker> placement) {
			Map<Worker, Integer> taskCounts = new LinkedHashMap<>();
			placement.values().forEach((worker) -> taskCounts.merge(worker, 1, Integer::sum));
			Set<Run> victims = new LinkedHashSet<>();
			taskCounts.forEach((worker, count) -> victims
				.addAll(withCompleteGangs(victimsOn(worker, this.unit.allocation().times(count), victims))));
			return victims;
		}

		// What one task of the unit costs on a worker that is filled with as many as go
		// there.
		private double costPerTask(Worker worker) {
			ResourceAmount available = this.free.available(worker);
			for (Run run : worker.runs()) {
				available = (run.stopping() || this.candidates.contains(run)) ? available.plus(run.allocation())
						: available;
			}
			long tasks = Math.min(this.unit.tasks().size(), available.countFitting(this.unit.allocation()));
			if (tasks == 0) {
				return Double.MAX_VALUE;
			}
			double cost = 0;
			for (Run run : victimsOn(worker, this.unit.allocation().times(tasks), Set.of())) {
				cost += this.lossEstimator.lossWithGang(run);
			}
			return cost / tasks;
		}

		// Cheap runs first; then whatever turned out not to be needed is spared, the
		// dearest first: a large run that gives way at last often makes room for all the
		// small ones.
		private List<Run> victimsOn(Worker worker, ResourceAmount required, Set<Run> alreadyChosen) {
			ResourceAmount available = this.free.available(worker);
			List<Run> cheapestFirst = new ArrayList<>();
			for (Run run : worker.runs()) {
				if (run.stopping() || alreadyChosen.contains(run)) {
					available = available.plus(run.allocation());
				}
				else if (this.candidates.contains(run)) {
					cheapestFirst.add(run);
				}
			}
			cheapestFirst.sort(Comparator.comparingDouble(this.lossEstimator::lossWithGang));
			List<Run> chosen = new ArrayList<>();
			for (Run run : cheapestFirst) {
				if (required.fitsIn(available)) {
					break;
				}
				chosen.add(run);
				available = available.plus(run.allocation());
			}
			for (int i = chosen.size() - 1; i >= 0; i--) {
				ResourceAmount without = available.minus(chosen.get(i).allocation());
				if (required.fitsIn(without)) {
					available = without;
					chosen.remove(i);
				}
			}
			return chosen;
		}

		private static Set<Run> withCompleteGangs(List<Run> victims) {
			Set<Run> complete = new LinkedHashSet<>(victims);
			for (Run victim : victims) {
				if (victim.task().step().spec().gangScheduled()) {
					victim.task().step().tasks().forEach((task) -> complete.addAll(task.openRuns()));
				}
			}
			return complete;
		}

	}

}
