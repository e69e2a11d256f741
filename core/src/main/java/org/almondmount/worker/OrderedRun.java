package org.almondmount.worker;

import org.almondmount.worker.WorkerEvent.StartOrdered;
import org.almondmount.worker.WorkerEvent.StopOrdered;
import org.almondmount.workflow.ResourceAmount;

/**
 * A run that was ordered and that the worker does not list as ended yet. Mutable; owned
 * by the worker manager.
 */
final class OrderedRun {

	/**
	 * Maximum number of calls that start a run; each waits a third of a second for its
	 * answer.
	 */
	private static final int MAX_START_CALLS = 4;

	private final StartOrdered order;

	private int startCallCount = 1;

	private boolean stopRequested;

	private boolean stopCallOutstanding;

	private long firstPollAfterStop;

	private long retryStopAt = Long.MIN_VALUE;

	private String notStartedReason = "stopped before it started";

	private long lastStartMillis;

	OrderedRun(StartOrdered order, long now) {
		this.order = order;
		this.lastStartMillis = now;
	}

	/**
	 * Creates a run of which only the order to stop it is known.
	 * @param stop that order
	 * @param now the monotonic clock in milliseconds
	 * @return the run
	 */
	static OrderedRun ofStopOrder(StopOrdered stop, long now) {
		return new OrderedRun(new StartOrdered(stop.epoch(), 0, stop.incarnation(), stop.task(), stop.run(), "", "",
				ResourceAmount.NONE), now);
	}

	StartOrdered order() {
		return this.order;
	}

	void recordStartCall(long now) {
		this.lastStartMillis = now;
	}

	/**
	 * Returns when the worker may have received a call that starts the run.
	 * @return the time of the last call, or of the order if none was sent
	 */
	long lastStartMillis() {
		return this.lastStartMillis;
	}

	void resetStartCalls() {
		this.startCallCount = 0;
	}

	boolean mayRetryStart() {
		return ++this.startCallCount <= MAX_START_CALLS;
	}

	boolean stopRequested() {
		return this.stopRequested;
	}

	void stopRequested(boolean requested) {
		this.stopRequested = requested;
	}

	boolean stopCallOutstanding() {
		return this.stopCallOutstanding;
	}

	void stopCallOutstanding(boolean outstanding) {
		this.stopCallOutstanding = outstanding;
	}

	/**
	 * Returns the first poll that was sent after the stop call was answered.
	 * @return its number, 0 while the stop call is not answered
	 */
	long firstPollAfterStop() {
		return this.firstPollAfterStop;
	}

	void firstPollAfterStop(long pollNumber) {
		this.firstPollAfterStop = pollNumber;
	}

	long retryStopAt() {
		return this.retryStopAt;
	}

	void retryStopAt(long millis) {
		this.retryStopAt = millis;
	}

	String notStartedReason() {
		return this.notStartedReason;
	}

	void notStartedReason(String reason) {
		this.notStartedReason = reason;
	}

}
