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
final class Rooms {

	private final Function<Worker, ResourceAmount> start;

	private final Map<Worker, ResourceAmount> changed = new HashMap<>();

	private final Map<Worker, Integer> placed = new HashMap<>();

	private Rooms(Function<Worker, ResourceAmount> start) {
		this.start = start;
	}

	/**
	 * The room that no run takes now.
	 * @return the room
	 */
	static Rooms free() {
		return new Rooms(Worker::free);
	}

	/**
	 * The room that there would be if nothing ran.
	 * @return the room
	 */
	static Rooms empty() {
		return new Rooms(Worker::capacity);
	}

	ResourceAmount free(Worker worker) {
		ResourceAmount now = this.changed.get(worker);
		return (now != null) ? now : this.start.apply(worker);
	}

	void give(Worker worker, ResourceAmount amount) {
		this.changed.put(worker, free(worker).plus(amount));
	}

	void take(Worker worker, ResourceAmount amount) {
		this.changed.put(worker, free(worker).minus(amount));
	}

	/**
	 * Whether a worker takes one more task of a unit.
	 * @param worker the worker
	 * @param unit the unit
	 * @return whether the task fits and the bound of tasks on one worker holds
	 */
	boolean takes(Worker worker, WorkUnit unit) {
		return unit.room().fitsIn(free(worker)) && !hasToStayApart(worker, unit) && mayTake(worker, unit) > 0
				&& !isDangerous(worker, unit);
	}

	/**
	 * Whether workers together take all tasks of a unit, in whatever order they are
	 * filled: its tasks are alike.
	 * @param workers the workers
	 * @param unit the unit
	 * @return whether they do
	 */
	boolean takesAll(List<Worker> workers, WorkUnit unit) {
		long left = unit.tasks().size();
		for (Worker worker : workers) {
			if (takes(worker, unit)) {
				left -= Math.min(free(worker).countFitting(unit.room()), mayTake(worker, unit));
			}
			if (left <= 0) {
				return true;
			}
		}
		return false;
	}

	void place(Worker worker, WorkUnit unit) {
		take(worker, unit.room());
		this.placed.merge(worker, 1, Integer::sum);
	}

	// How many more the bound of tasks on one worker leaves.
	private long mayTake(Worker worker, WorkUnit unit) {
		int most = unit.step().spec().placement().maxPerWorker();
		if (most == 0) {
			return Long.MAX_VALUE;
		}
		return most - alreadyThere(worker, unit) - this.placed.getOrDefault(worker, 0);
	}

	// A guarantee has a bound of its own and does not wait for a suspect to prove itself.
	private static boolean isDangerous(Worker worker, WorkUnit unit) {
		return unit.caution().forbids(worker, unit.step()) || (!unit.guaranteed() && worker.endangers(unit.step()));
	}

	private static boolean hasToStayApart(Worker worker, WorkUnit unit) {
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

	private static int alreadyThere(Worker worker, WorkUnit unit) {
		int there = 0;
		for (Run run : worker.runs()) {
			if (run.task().step() == unit.step()) {
				there++;
			}
		}
		return there;
	}

}
