package org.almondmount.workflow.impl;

/**
 * The benefit that placing a waiting step now still has for its caller. The order of the
 * constants is not a ranking; {@link #waitsBehindAll()} and {@link #earliestFirst()}
 * define how each is ordered.
 */
enum Timeliness {

	/** The job can end within its objective. */
	IN_TIME(false, true),

	/** The job will end late, but its result will still be useful to its caller. */
	LATE(false, false),

	/** The job can only end when hardly any caller still waits for its result. */
	EXPIRED(true, true),

	/**
	 * The job has waited so long that it would starve behind newer work. It is treated
	 * like work that can be in time, whose order puts the oldest first.
	 */
	STARVED(false, true);

	private final boolean behindAll;

	private final boolean earliestFirst;

	Timeliness(boolean behindAll, boolean earliestFirst) {
		this.behindAll = behindAll;
		this.earliestFirst = earliestFirst;
	}

	/**
	 * Whether it is placed only after all other work, of any priority.
	 * @return whether it is placed last
	 */
	boolean waitsBehindAll() {
		return this.behindAll;
	}

	/**
	 * Whether units with the earliest latest start come first. Among jobs that are late
	 * anyway the smallest come first, so that as many of them as possible end while their
	 * results are useful.
	 * @return whether the order is by latest start
	 */
	boolean earliestFirst() {
		return this.earliestFirst;
	}

}
