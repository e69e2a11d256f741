package org.almondmount.workflow;

import java.util.Locale;

/**
 * The state of a job as its caller sees it.
 */
public enum JobPhase {

	/** No task has started. */
	QUEUED(false),

	/** A task has started. */
	RUNNING(false),

	/** All tasks have completed. */
	COMPLETED(true),

	/**
	 * A task or a gang used up the attempts that its queue allows, or workers crashed
	 * repeatedly while they ran the same task.
	 */
	FAILED(true),

	/** The caller cancelled the job. */
	CANCELLED(true);

	private final boolean isTerminal;

	JobPhase(boolean over) {
		this.isTerminal = over;
	}

	public boolean isTerminal() {
		return this.isTerminal;
	}

	/**
	 * Returns the name of the phase in answers to callers.
	 * @return the constant's name in lower case
	 */
	public String externalName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
