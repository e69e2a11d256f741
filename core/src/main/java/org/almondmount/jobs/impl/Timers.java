package org.almondmount.jobs.impl;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Scheduled actions, run in the order of their due times and then of their scheduling.
 * Timers can't be cancelled, so that each action has to check whether it still applies.
 * Not thread-safe.
 */
final class Timers {

	private final PriorityQueue<Timer> queue = new PriorityQueue<>(
			Comparator.comparingLong(Timer::dueAt).thenComparingLong(Timer::sequence));

	private long scheduledCount;

	void schedule(long dueAt, Runnable action) {
		this.scheduledCount++;
		this.queue.add(new Timer(dueAt, this.scheduledCount, action));
	}

	void runDue(long now) {
		while (!this.queue.isEmpty() && this.queue.peek().dueAt() <= now) {
			this.queue.poll().action().run();
		}
	}

	/**
	 * Returns when the next action is due.
	 * @return the time, {@link Long#MAX_VALUE} if no action is scheduled
	 */
	long nextDueAt() {
		return this.queue.isEmpty() ? Long.MAX_VALUE : this.queue.peek().dueAt();
	}

	private record Timer(long dueAt, long sequence, Runnable action) {
	}

}
