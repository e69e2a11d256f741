package org.almondmount.workflow;

/**
 * How a run of a task ended on its worker.
 */
public enum RunOutcome {

	/** The run completed its work. */
	DONE(true, false),

	/** The run failed, through a fault of its own or of its worker. */
	FAILED(false, true),

	/** The run was stopped on command. */
	STOPPED(false, false),

	/** The lease of the run expired. */
	LAPSED(false, false),

	/** Another member of the gang ended. */
	BROKEN(false, false),

	/** The other members of its gang did not start in time. */
	ALONE(false, false),

	/** The worker is gone, or never started the run. */
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
	 * Returns whether the run counts against the attempts that its queue allows.
	 * @return whether the run counts as an attempt
	 */
	public boolean countsAsAttempt() {
		return this.countsAsAttempt;
	}

}
