package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.preemption.RoomRequest;
import org.almondmount.workflow.preemption.StopEffect;
import org.almondmount.workflow.preemption.VictimGroup;
import org.almondmount.workflow.preemption.VictimSearch;
import org.almondmount.workflow.preemption.WorkerRoom;

/**
 * The runs that may be preempted for a unit, by gang, in the form that
 * {@link VictimSearch} expects. Created for one search.
 */
final class VictimGroups {

	private final WorkUnit unit;

	private final List<Worker> workers;

	private final Map<Object, Integer> indexes = new HashMap<>();

	private final List<List<Run>> groups = new ArrayList<>();

	private final List<Map<Integer, ResourceAmount>> held = new ArrayList<>();

	VictimGroups(WorkUnit unit, List<Worker> workers, Set<Run> candidates) {
		this.unit = unit;
		this.workers = workers;
		for (int worker = 0; worker < workers.size(); worker++) {
			for (Run run : workers.get(worker).runs()) {
				if (candidates.contains(run)) {
					int group = this.indexes.computeIfAbsent(keyOf(run), (key) -> add(run));
					this.held.get(group).merge(worker, run.allocation(), ResourceAmount::plus);
				}
			}
		}
	}

	/**
	 * Returns what the runs that are stopped together have in common.
	 * @param run a run
	 * @return the step of a gang, or the run itself
	 */
	static Object keyOf(Run run) {
		StepState step = run.task().step();
		return step.spec().gangScheduled() ? step : run;
	}

	WorkUnit unit() {
		return this.unit;
	}

	private int add(Run run) {
		StepState step = run.task().step();
		List<Run> members = new ArrayList<>();
		if (step.spec().gangScheduled()) {
			step.tasks().forEach((task) -> members.addAll(task.openRuns()));
		}
		else {
			members.add(run);
		}
		this.groups.add(members);
		this.held.add(new LinkedHashMap<>());
		return this.groups.size() - 1;
	}

	RoomRequest request(Supplier<TentativeCapacity> capacities, WorkLossEstimator lossEstimator,
			StopForecast forecast) {
		Map<StepState, Integer> steps = new HashMap<>();
		List<VictimGroup> victims = new ArrayList<>();
		for (int group = 0; group < this.groups.size(); group++) {
			Run run = this.groups.get(group).get(0);
			StepState step = run.task().step();
			StopEffect effect = forecast.effectOf(run);
			double lost = effect.lostCoreSeconds(lossEstimator.lossWithGang(run));
			double late = effect.lateCoreSeconds(DeadlineEstimate.coreSeconds(step, step.tasks().size()));
			victims.add(new VictimGroup(this.held.get(group), lost, steps.computeIfAbsent(step, (key) -> steps.size()),
					late));
		}
		return new RoomRequest(this.unit.tasks().size(), this.unit.allocation(), rooms(capacities), victims);
	}

	private List<WorkerRoom> rooms(Supplier<TentativeCapacity> capacities) {
		TentativeCapacity unchanged = withStopping(capacities.get());
		TentativeCapacity allFree = withStopping(capacities.get());
		for (Map<Integer, ResourceAmount> amounts : this.held) {
			amounts.forEach((worker, amount) -> allFree.release(this.workers.get(worker), amount));
		}
		List<WorkerRoom> rooms = new ArrayList<>();
		for (Worker worker : this.workers) {
			rooms.add(new WorkerRoom(unchanged.available(worker), maxTasks(worker, allFree)));
		}
		return rooms;
	}

	private long maxTasks(Worker worker, TentativeCapacity allFree) {
		long tasks = 0;
		while (tasks < this.unit.tasks().size() && allFree.canPlace(worker, this.unit)) {
			allFree.place(worker, this.unit);
			tasks++;
		}
		return tasks;
	}

	private TentativeCapacity withStopping(TentativeCapacity capacity) {
		for (Worker worker : this.workers) {
			for (Run run : worker.runs()) {
				if (run.stopping()) {
					capacity.release(worker, run.allocation());
				}
			}
		}
		return capacity;
	}

	Set<Integer> groupsOf(Set<Run> victims) {
		Set<Integer> found = new TreeSet<>();
		victims.forEach((run) -> found.add(this.indexes.get(keyOf(run))));
		return found;
	}

	Set<Run> runsOf(Set<Integer> chosen) {
		Set<Run> runs = new LinkedHashSet<>();
		chosen.forEach((group) -> runs.addAll(this.groups.get(group)));
		return runs;
	}

	/**
	 * Places the unit as if the victims had ended, on as few workers as possible.
	 * @param capacities supplies the capacity available to the unit
	 * @param victims the runs to preempt
	 * @return the worker of each task, or empty if not all tasks fit
	 */
	Optional<Map<TaskState, Worker>> placement(Supplier<TentativeCapacity> capacities, Set<Run> victims) {
		TentativeCapacity capacity = withStopping(capacities.get());
		for (Run run : victims) {
			if (!run.stopping()) {
				capacity.release(run.worker(), run.allocation());
			}
		}
		List<Worker> order = new ArrayList<>(this.workers);
		order.sort(Comparator
			.comparingLong((Worker worker) -> -capacity.available(worker).countFitting(this.unit.allocation())));
		return Placer.fillInOrder(this.unit, order, capacity);
	}

}
