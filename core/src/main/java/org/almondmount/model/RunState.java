package org.almondmount.model;

/**
 * What a caller can rely on about work that did not end with an answer.
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
	 * The word used in answers.
	 * @return the word
	 */
	public String externalName() {
		return this.externalName;
	}

}
