package org.almondmount.workflow.impl;

/**
 * What company a unit may have on its worker, by the crashes that its tasks were under.
 */
enum IsolationLevel {

	/** Any. */
	NONE,

	/** It is a suspect: it goes where it would take the least work down with it. */
	MINIMIZE_IMPACT,

	/** It is a suspect, and waits for a worker on which nothing else runs. */
	ALONE;

	boolean isSuspect() {
		return this != NONE;
	}

	/**
	 * Whether a worker is out of the question.
	 * @param worker the worker
	 * @param step the unit's step
	 * @return whether work of other steps there keeps the unit away
	 */
	boolean forbids(Worker worker, StepState step) {
		return this == ALONE && worker.runsOtherStep(step);
	}

	IsolationLevel stricterOf(IsolationLevel other) {
		return (compareTo(other) >= 0) ? this : other;
	}

}
