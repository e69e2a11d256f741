package org.almondmount.workflow.preemption;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.almondmount.workflow.ResourceAmount;

/**
 * The room of all workers while groups are chosen to be stopped. Mutable; created for one
 * search.
 */
final class FreedRoom {

	private final RoomRequest request;

	private final WorkerRoom[] workers;

	private final TreeSet<Integer> stopped = new TreeSet<>();

	private final Map<Integer, Integer> stoppedByStep = new HashMap<>();

	private long fittingTasks;

	FreedRoom(RoomRequest request) {
		this.request = request;
		this.workers = request.workers().toArray(WorkerRoom[]::new);
		for (WorkerRoom worker : this.workers) {
			this.fittingTasks += worker.countFitting(request.allocation());
		}
	}

	WorkerRoom worker(int index) {
		return this.workers[index];
	}

	TreeSet<Integer> stopped() {
		return this.stopped;
	}

	boolean isStopped(int group) {
		return this.stopped.contains(group);
	}

	boolean holdsAllTasks() {
		return missingTasks() <= 0;
	}

	long missingTasks() {
		return this.request.taskCount() - this.fittingTasks;
	}

	void stop(int group) {
		if (this.stopped.add(group)) {
			VictimGroup victims = this.request.groups().get(group);
			this.stoppedByStep.merge(victims.step(), 1, Integer::sum);
			victims.held().forEach((worker, amount) -> replace(worker, this.workers[worker].plus(amount)));
		}
	}

	private void keep(int group) {
		if (this.stopped.remove(group)) {
			VictimGroup victims = this.request.groups().get(group);
			this.stoppedByStep.merge(victims.step(), -1, Integer::sum);
			victims.held().forEach((worker, amount) -> replace(worker, this.workers[worker].minus(amount)));
		}
	}

	private void replace(int worker, WorkerRoom next) {
		this.fittingTasks += next.countFitting(this.request.allocation())
				- this.workers[worker].countFitting(this.request.allocation());
		this.workers[worker] = next;
	}

	/**
	 * Returns how many more tasks would fit if further groups were stopped.
	 * @param groups groups that are not stopped yet
	 * @return the number of tasks on all workers of these groups
	 */
	long gain(List<Integer> groups) {
		if (groups.size() == 1) {
			return gain(this.request.groups().get(groups.get(0)).held());
		}
		Map<Integer, ResourceAmount> freed = new HashMap<>();
		for (int group : groups) {
			this.request.groups()
				.get(group)
				.held()
				.forEach((worker, amount) -> freed.merge(worker, amount, ResourceAmount::plus));
		}
		return gain(freed);
	}

	private long gain(Map<Integer, ResourceAmount> freed) {
		long gain = 0;
		for (Map.Entry<Integer, ResourceAmount> entry : freed.entrySet()) {
			WorkerRoom worker = this.workers[entry.getKey()];
			gain += worker.plus(entry.getValue()).countFitting(this.request.allocation())
					- worker.countFitting(this.request.allocation());
		}
		return gain;
	}

	/**
	 * Returns what is lost if further groups are stopped.
	 * @param groups groups that are not stopped yet
	 * @return core-seconds
	 */
	double addedLoss(List<Integer> groups) {
		List<Integer> lateSteps = new ArrayList<>();
		double loss = 0;
		for (int group : groups) {
			VictimGroup victims = this.request.groups().get(group);
			loss += victims.lostCoreSeconds();
			if (this.stoppedByStep.getOrDefault(victims.step(), 0) == 0 && !lateSteps.contains(victims.step())) {
				lateSteps.add(victims.step());
				loss += victims.lateCoreSeconds();
			}
		}
		return loss;
	}

	/**
	 * Returns what is lost with all stopped groups.
	 * @return core-seconds
	 */
	double loss() {
		return new FreedRoom(this.request).addedLoss(List.copyOf(this.stopped));
	}

	/**
	 * Keeps each group whose room turned out not to be needed, the dearest first.
	 */
	void keepUnneeded() {
		List<Integer> dearestFirst = new ArrayList<>(this.stopped);
		dearestFirst
			.sort(Comparator.comparingDouble((Integer group) -> this.request.groups().get(group).loss()).reversed());
		for (int group : dearestFirst) {
			keep(group);
			if (!holdsAllTasks()) {
				stop(group);
			}
		}
	}

}
