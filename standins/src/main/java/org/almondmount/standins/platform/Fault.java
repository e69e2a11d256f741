package org.almondmount.standins.platform;

/**
 * What can be made to go wrong in a stand-in. Each value is a number; 0 is healthy. A
 * stand-in ignores those that have no meaning for it.
 */
public enum Fault {

	/** 1: every call is refused with 503, without effect. */
	REFUSE("refuse"),

	/** 1: calls are read, have no effect and are never answered. */
	SILENT("silent"),

	/** Every call takes effect that many milliseconds late. */
	DELAY_MILLIS("delayMillis"),

	/** Every answer is given that many milliseconds after its call took effect. */
	ANSWER_DELAY_MILLIS("answerDelayMillis"),

	/** The next so many calls that change something take effect and are not answered. */
	LOSE_ANSWERS("loseAnswers"),

	/** The next so many calls that change something are dropped without effect. */
	LOSE_CALLS("loseCalls"),

	/** Transactions that the table takes in a second; 0 is its own limit. */
	WRITES_PER_SECOND("writesPerSecond"),

	/** Reads that the table takes in a second; 0 is its own limit. */
	READS_PER_SECOND("readsPerSecond"),

	/** 1: the worker fails every task that it starts from now on. */
	FAIL_TASKS("failTasks"),

	/** 1: tasks on the worker ignore orders to checkpoint. */
	IGNORE_CHECKPOINTS("ignoreCheckpoints"),

	/** The instance takes that many milliseconds for each request; 0 is its own time. */
	SERVICE_MILLIS("serviceMillis"),

	/** The instance answers every request with that status after running it. */
	ERROR_STATUS("errorStatus");

	private final String word;

	Fault(String word) {
		this.word = word;
	}

	/**
	 * The fault's name in JSON.
	 * @return the name
	 */
	public String word() {
		return this.word;
	}

}
