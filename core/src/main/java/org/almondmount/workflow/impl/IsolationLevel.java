package org.almondmount.workflow.impl;

/**
 * How far a unit has to be isolated from other work on its worker, according to the crash
 * history of its tasks.
 */
enum IsolationLevel {

	/** No isolation. */
	NONE,

	/** The unit is a suspect and is placed where a crash would lose the least work. */
	MINIMIZE_IMPACT,

	/** The unit is a suspect and waits for a worker on which no other step runs. */
	ALONE;

	boolean isSuspect() {
		return this != NONE;
	}

	/**
	 * Whether the unit must not be placed on a worker.
	 * @param worker the worker
	 * @param step the unit's step
	 * @return whether the unit has to run alone and other steps run on the worker
	 */
	boolean forbids(Worker worker, StepState step) {
		return this == ALONE && worker.runsOtherStep(step);
	}

	IsolationLevel stricterOf(IsolationLevel other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
