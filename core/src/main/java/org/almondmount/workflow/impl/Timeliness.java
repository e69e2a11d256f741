package org.almondmount.workflow.impl;

/**
 * What placing a waiting step now can still do for its caller. The order of the constants
 * is no rank; {@link #waitsBehindAll()} and {@link #earliestFirst()} tell how each waits.
 */
enum Timeliness {

	/** Its job can end within its objective. */
	IN_TIME(false, true),

	/** Its job will end late, and still be of some use to its caller. */
	LATE(false, false),

	/** Its job can only end when hardly anybody waits for it any more. */
	EXPIRED(true, true),

	/**
	 * It waited so long that it would starve behind what keeps coming. Treated like work
	 * that can be in time, whose order puts the oldest first.
	 */
	STARVED(false, true);

	private final boolean behindAll;

	private final boolean earliestFirst;

	Timeliness(boolean behindAll, boolean earliestFirst) {
		this.behindAll = behindAll;
		this.earliestFirst = earliestFirst;
	}

	/**
	 * Whether it is placed only after everything else, of any priority.
	 * @return whether it is
	 */
	boolean waitsBehindAll() {
		return this.behindAll;
	}

	/**
	 * Whether those that have to start earliest come first. Of jobs that are late anyway
	 * the smallest come first: that way the most of them still end while they are of use.
	 * @return whether they do
	 */
	boolean earliestFirst() {
		return this.earliestFirst;
	}

}
