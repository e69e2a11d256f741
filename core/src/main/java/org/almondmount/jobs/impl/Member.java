package org.almondmount.jobs.impl;

import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.WorkerId;

/**
 * One member of a gang. Mutable, not thread-safe.
 */
final class Member {

	final Gang gang;

	final int index;

	final WorkerId workerId;

	/** Null while a recovered member's worker has not announced itself. */
	WorkerNode worker;

	/** Whether its room is booked on the worker. */
	boolean allocated;

	boolean prepared;

	boolean startSent;

	boolean started;

	/** Whether its worker was asked to end it. */
	boolean stopSent;

	/** Whether its worker said that nothing of it ran. */
	boolean neverRan;

	boolean checkpointed;

	/** When it was told to slow down, 0 if never. */
	long throttledAt;

	/** How its task ended, null until it has. */
	JobOutcome outcome;

	Member(Gang gang, int index, WorkerId workerId) {
		this.gang = gang;
		this.index = index;
		this.workerId = workerId;
	}

}
