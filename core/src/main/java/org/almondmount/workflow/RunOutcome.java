package org.almondmount.workflow;

/**
 * How a run of a task ended on its worker.
 */
public enum RunOutcome {

	/** Its work is done. */
	DONE(true, false),

	/** It failed, by its own fault or its worker's. */
	FAILED(false, true),

	/** It was told to stop. */
	STOPPED(false, false),

	/** Its lease ran out. */
	LAPSED(false, false),

	/** Another member of its gang ended. */
	BROKEN(false, false),

	/** The other members of its gang did not come in time. */
	ALONE(false, false),

	/** Its worker is gone, or never began it. */
	LOST(false, false);

	private final boolean done;

	private final boolean countsAsAttempt;

	RunOutcome(boolean done, boolean attempt) {
		this.done = done;
		this.countsAsAttempt = attempt;
	}

	public boolean done() {
		return this.done;
	}

	/**
	 * Whether it counts against the attempts that a queue allows.
	 * @return whether it does
	 */
	public boolean countsAsAttempt() {
		return this.countsAsAttempt;
	}

}
