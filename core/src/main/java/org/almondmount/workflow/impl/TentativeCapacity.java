package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;

/**
 * Room on workers as it would be, while a placement is tried. Mutable; made for one try.
 */
final class TentativeCapacity {

	private final Function<Worker, ResourceAmount> initial;

	private final Map<Worker, ResourceAmount> adjusted = new HashMap<>();

	private final Map<Worker, Integer> placedTaskCounts = new HashMap<>();

	private TentativeCapacity(Function<Worker, ResourceAmount> start) {
		this.initial = start;
	}

	/**
	 * The room that no run takes now.
	 * @return the room
	 */
	static TentativeCapacity available() {
		return new TentativeCapacity(Worker::free);
	}

	/**
	 * The room that there would be if nothing ran.
	 * @return the room
	 */
	static TentativeCapacity ofIdleWorkers() {
		return new TentativeCapacity(Worker::capacity);
	}

	ResourceAmount available(Worker worker) {
		ResourceAmount amount = this.adjusted.get(worker);
		return (amount != null) ? amount : this.initial.apply(worker);
	}

	void release(Worker worker, ResourceAmount amount) {
		this.adjusted.put(worker, available(worker).plus(amount));
	}

	void allocate(Worker worker, ResourceAmount amount) {
		this.adjusted.put(worker, available(worker).minus(amount));
	}

	/**
	 * Whether a worker takes one more task of a unit.
	 * @param worker the worker
	 * @param unit the unit
	 * @return whether the task fits and the bound of tasks on one worker holds
	 */
	boolean canPlace(Worker worker, WorkUnit unit) {
		return unit.allocation().fitsIn(available(worker)) && !violatesAntiAffinity(worker, unit)
				&& remainingTaskLimit(worker, unit) > 0 && !isCrashRisk(worker, unit);
	}

	/**
	 * Whether workers together take all tasks of a unit, in whatever order they are
	 * filled: its tasks are alike.
	 * @param workers the workers
	 * @param unit the unit
	 * @return whether they do
	 */
	boolean canPlaceAll(List<Worker> workers, WorkUnit unit) {
		long remaining = unit.tasks().size();
		for (Worker worker : workers) {
			if (canPlace(worker, unit)) {
				remaining -= Math.min(available(worker).countFitting(unit.allocation()),
						remainingTaskLimit(worker, unit));
			}
			if (remaining <= 0) {
				return true;
			}
		}
		return false;
	}

	void place(Worker worker, WorkUnit unit) {
		allocate(worker, unit.allocation());
		this.placedTaskCounts.merge(worker, 1, Integer::sum);
	}

	// How many more the bound of tasks on one worker leaves.
	private long remainingTaskLimit(Worker worker, WorkUnit unit) {
		int maxPerWorker = unit.step().spec().placement().maxPerWorker();
		if (maxPerWorker == 0) {
			return Long.MAX_VALUE;
		}
		return maxPerWorker - openRunCount(worker, unit) - this.placedTaskCounts.getOrDefault(worker, 0);
	}

	// A guarantee has a bound of its own and does not wait for a suspect to prove itself.
	private static boolean isCrashRisk(Worker worker, WorkUnit unit) {
		return unit.isolation().forbids(worker, unit.step())
				|| (!unit.guaranteed() && worker.endangersOtherSteps(unit.step()));
	}

	private static boolean violatesAntiAffinity(Worker worker, WorkUnit unit) {
		Step spec = unit.step().spec();
		if (!spec.isColocationSensitive()) {
			return false;
		}
		for (Run run : worker.runs()) {
			if (spec.conflictsWith(run.task().step().spec())) {
				return true;
			}
		}
		return false;
	}

	private static int openRunCount(Worker worker, WorkUnit unit) {
		int count = 0;
		for (Run run : worker.runs()) {
			if (run.task().step() == unit.step()) {
				count++;
			}
		}
		return count;
	}

}
