package org.almondmount.workflow;

/**
 * Why a job is given up.
 */
public enum JobFailure {

	/** A task or a gang failed as often as its queue allows. */
	ATTEMPTS_USED_UP("a task failed as often as its queue allows", "see why it fails before it is handed in again"),

	/** Workers crashed under a task. */
	WORKERS_CRASHED("workers crashed under task", "see what it does to its worker before it is handed in again");

	private final String reason;

	private final String remedy;

	JobFailure(String what, String remedy) {
		this.reason = what;
		this.remedy = remedy;
	}

	/**
	 * What a caller is told.
	 * @param detail what it is about, or empty
	 * @return the reason with its remedy
	 */
	public String message(String detail) {
		return this.reason + detail + "; " + this.remedy;
	}

}
