package org.almondmount.model;

/**
 * Whether work that completed without an answer may have run.
 */
public enum RunState {

	/** It did not run and never will. */
	NOT_RUN("not-run"),

	/** It may have run, may still run, or may have run in part. */
	MAY_HAVE_RUN("may-have-run");

	private final String externalName;

	RunState(String externalName) {
		this.externalName = externalName;
	}

	/**
	 * The name used in answers.
	 * @return the name
	 */
	public String externalName() {
		return this.externalName;
	}

}
