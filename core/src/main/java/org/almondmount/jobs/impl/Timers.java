package org.almondmount.jobs.impl;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Actions that are due at a time, run in the order of their times and then of their
 * setting. An action checks itself whether it still applies. Not thread-safe.
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
	 * When the next action is due.
	 * @return the time, {@link Long#MAX_VALUE} if there is none
	 */
	long nextDueAt() {
		return this.queue.isEmpty() ? Long.MAX_VALUE : this.queue.peek().dueAt();
	}

	private record Timer(long dueAt, long sequence, Runnable action) {
	}

}
