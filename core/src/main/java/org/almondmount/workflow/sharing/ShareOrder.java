package org.almondmount.workflow.sharing;

/**
 * For which work the shares of customers decide what is placed first. Guarantees,
 * timeliness and priority always come before shares.
 */
public enum ShareOrder {

	/** For none. */
	NONE(false, false),

	/** For all work of one priority that is equally timely. */
	WITHIN_PRIORITY(true, true),

	/** Only for work that can be in time. */
	AMONG_TIMELY(true, false),

	/** Only for work that is late anyway. */
	AMONG_LATE(false, true);

	private final boolean timely;

	private final boolean late;

	ShareOrder(boolean timely, boolean late) {
		this.timely = timely;
		this.late = late;
	}

	/**
	 * Whether shares decide for work that can be in time.
	 * @return whether they come before its latest start
	 */
	public boolean ordersTimely() {
		return this.timely;
	}

	/**
	 * Whether shares decide for work that is late but still useful.
	 * @return whether they come before its size
	 */
	public boolean ordersLate() {
		return this.late;
	}

}
