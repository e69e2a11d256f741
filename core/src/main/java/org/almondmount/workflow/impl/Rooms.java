package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.Map;

import org.almondmount.workflow.ResourceAmount;

/**
 * Room on workers as it would be, while a placement is tried. Mutable; made for one try.
 */
final class Rooms {

	private final Map<Worker, ResourceAmount> free = new HashMap<>();

	private final Map<Worker, Integer> placed = new HashMap<>();

	ResourceAmount free(Worker worker) {
		return this.free.computeIfAbsent(worker, Worker::free);
	}

	void give(Worker worker, ResourceAmount amount) {
		this.free.put(worker, free(worker).plus(amount));
	}

	void take(Worker worker, ResourceAmount amount) {
		this.free.put(worker, free(worker).minus(amount));
	}

	/**
	 * Whether a worker takes one more task of a unit.
	 * @param worker the worker
	 * @param unit the unit
	 * @return whether the task fits and the bound of tasks on one worker holds
	 */
	boolean takes(Worker worker, WorkUnit unit) {
		if (!unit.room().fitsIn(free(worker)) || hasToStayApart(worker, unit)) {
			return false;
		}
		int most = unit.step().spec().placement().mostPerWorker();
		return most == 0 || alreadyThere(worker, unit) + this.placed.getOrDefault(worker, 0) < most;
	}

	void place(Worker worker, WorkUnit unit) {
		take(worker, unit.room());
		this.placed.merge(worker, 1, Integer::sum);
	}

	private static boolean hasToStayApart(Worker worker, WorkUnit unit) {
		for (Run run : worker.runs()) {
			if (unit.step().spec().staysApartFrom(run.task().step().spec())) {
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
