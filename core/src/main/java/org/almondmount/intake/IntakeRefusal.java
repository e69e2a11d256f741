package org.almondmount.intake;

/**
 * Reasons for not accepting a job, with the remedy for the caller.
 */
public enum IntakeRefusal {

	/** The store does not answer this entry. */
	STORE_SILENT("the store does not answer; submit the job again after the retry-after time", true),

	/** The store answers but accepts no jobs from this entry. */
	STORE_TURNS_AWAY("the store accepts no jobs from this entry; submit the job again, it may reach another entry",
			true),

	/** The number of jobs that wait for the store has reached the limit of this entry. */
	TOO_MANY_WAIT("too many jobs wait for the store here; submit the job again after the retry-after time", false),

	/** This entry is shutting down or overloaded. */
	BUSY("this entry accepts no more jobs; submit the job again, it may reach another entry", false),

	/** The job was sent to the store and no answer arrived. */
	UNSETTLED("it is not known whether the job was accepted; submit the same job again to find out", true);

	private final String remedy;

	private final boolean hasWaited;

	IntakeRefusal(String remedy, boolean waited) {
		this.remedy = remedy;
		this.hasWaited = waited;
	}

	/**
	 * Whether the job waited in the queue before it was refused.
	 * @return true if it waited
	 */
	public boolean hasWaited() {
		return this.hasWaited;
	}

	/**
	 * A description of the problem and its remedy for people.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

}
