package org.almondmount.workflow;

/**
 * The reason for which a job failed.
 */
public enum JobFailure {

	/** A task or a gang used up the attempts that its queue allows. */
	ATTEMPTS_USED_UP("a task used up the attempts that its queue allows",
			"find out why it fails before submitting the job again"),

	/** Workers crashed repeatedly while they ran the same task. */
	WORKERS_CRASHED("workers crashed under task", "find out how it crashes them before submitting the job again");

	private final String reason;

	private final String remedy;

	JobFailure(String what, String remedy) {
		this.reason = what;
		this.remedy = remedy;
	}

	/**
	 * Returns the message that callers of the job receive.
	 * @param detail the details to append to the reason, or empty
	 * @return the reason followed by the remedy
	 */
	public String message(String detail) {
		return this.reason + detail + "; " + this.remedy;
	}

}
