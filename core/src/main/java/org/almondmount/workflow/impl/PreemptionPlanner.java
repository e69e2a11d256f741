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
 * Chooses the runs that are preempted for a unit that does not fit. Stateless.
 * <p>
 * Preemption handles bursts of urgent jobs that arrive while the fleet is full of work
 * that is not urgent. Among all racks and workers that could hold the unit, it selects
 * those where the least work is lost according to {@link RunWorkSummary#lossIfStopped},
 * and it stops no run whose capacity turns out not to be needed.
 */
final class PreemptionPlanner {

	private final Placer placer;

	PreemptionPlanner(Placer placer) {
		this.placer = placer;
	}

	/**
	 * Chooses a placement and the runs that are preempted for it.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param workers the workers that may run it
	 * @param capacities supplies the capacity available to the unit; called for each
	 * attempt
	 * @param preemptible the runs that may be stopped
	 * @return the cheapest plan, or empty if the unit would not fit even then
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
	 * Chooses a placement over all given workers, regardless of racks, and the runs that
	 * are preempted for it.
	 * @param now the steady clock
	 * @param unit the unit
	 * @param workers the workers that it may use
	 * @param capacities supplies the capacity available to the unit; called for each
	 * attempt
	 * @param preemptible the runs that may be stopped
	 * @return the plan, or empty if the unit would not fit even then
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
	 * The placement of a unit and the runs that have to end first.
	 *
	 * @param placement the worker of each task
	 * @param victims the runs to preempt
	 * @param cost the work that is lost, in core-seconds
	 */
	record Plan(Map<TaskState, Worker> placement, Set<Run> victims, double cost) {
	}

	/**
	 * A search for the runs to preempt.
	 *
	 * @param unit the unit to place
	 * @param free the capacity available to it
	 * @param candidates the runs that may be stopped
	 * @param lossEstimator estimates the work that is lost with each run
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

		// Returns the cost per task if the worker is filled with as many tasks of the
		// unit as fit.
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

		// Chooses cheap runs first, then drops the runs that turned out not to be needed,
		// the most expensive first: a large run that is chosen last often frees enough
		// capacity to keep all the small ones.
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
