package org.almondmount.jobs.impl;

import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.WorkerId;

/**
 * A member of a gang. Mutable, not thread-safe.
 */
final class Member {

	final Gang gang;

	final int index;

	final WorkerId workerId;

	/** The worker, null until the worker of a recovered member registers. */
	WorkerNode worker;

	/** Whether its resources are allocated on the worker. */
	boolean allocated;

	boolean prepared;

	boolean startSent;

	boolean started;

	/** Whether a stop was sent to its worker. */
	boolean stopSent;

	/** Whether its worker reported that it never ran. */
	boolean neverRan;

	boolean checkpointed;

	/** When it was throttled, 0 if never. */
	long throttledAt;

	/** The outcome of its task, null until it has ended. */
	JobOutcome outcome;

	Member(Gang gang, int index, WorkerId workerId) {
		this.gang = gang;
		this.index = index;
		this.workerId = workerId;
	}

}
