package org.almondmount.intake;

/**
 * Reasons for not accepting a job, with the remedy for the caller.
 */
public enum IntakeRefusal {

	/** The store does not answer this entry. */
	STORE_SILENT("the store does not answer; hand the job in again after the time to come back", true),

	/** The store answers but accepts no jobs from this entry. */
	STORE_TURNS_AWAY("the store takes nothing from this entry; hand the job in again, it may reach another entry",
			true),

	/** The number of jobs that wait for the store has reached the limit of this entry. */
	TOO_MANY_WAIT("too many jobs wait for the store here; hand the job in again after the time to come back", false),

	/** This entry is shutting down or overloaded. */
	BUSY("this entry takes no more work; hand the job in again, it may reach another entry", false),

	/** The job was sent to the store and no answer arrived. */
	UNSETTLED("nobody can tell whether the job was accepted; hand the same job in again to settle it", true);

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
