package org.almondmount.workflow;

import java.util.Locale;

/**
 * Where a job stands, as its caller is told.
 */
public enum JobPhase {

	/** No task has started. */
	QUEUED(false),

	/** A task has started. */
	RUNNING(false),

	/** Every task is done. */
	COMPLETED(true),

	/**
	 * A task or a gang failed as often as its queue allows, or workers crashed under a
	 * task.
	 */
	FAILED(true),

	/** It was cancelled. */
	CANCELLED(true);

	private final boolean isTerminal;

	JobPhase(boolean over) {
		this.isTerminal = over;
	}

	public boolean isTerminal() {
		return this.isTerminal;
	}

	/**
	 * The phase as callers read it.
	 * @return the word
	 */
	public String externalName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
