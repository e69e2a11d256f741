package org.almondmount.intake;

/**
 * Why a job was not accepted, with what its caller can do.
 */
public enum IntakeRefusal {

	/** The store answers nobody here. */
	STORE_SILENT("the store does not answer; hand the job in again after the time to come back", true),

	/** The store answers, and takes nothing from this entry. */
	STORE_TURNS_AWAY("the store takes nothing from this entry; hand the job in again, it may reach another entry",
			true),

	/** More jobs wait for the store than this entry keeps. */
	TOO_MANY_WAIT("too many jobs wait for the store here; hand the job in again after the time to come back", false),

	/** This entry ends or has too much to do. */
	BUSY("this entry takes no more work; hand the job in again, it may reach another entry", false),

	/** The job was sent to the store, and no answer came. */
	UNSETTLED("nobody can tell whether the job was accepted; hand the same job in again to settle it", true);

	private final String remedy;

	private final boolean hasWaited;

	IntakeRefusal(String remedy, boolean waited) {
		this.remedy = remedy;
		this.hasWaited = waited;
	}

	/**
	 * Whether its caller waited in the line before it was refused.
	 * @return whether it did
	 */
	public boolean hasWaited() {
		return this.hasWaited;
	}

	/**
	 * What is wrong and what to do, for people.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

}
