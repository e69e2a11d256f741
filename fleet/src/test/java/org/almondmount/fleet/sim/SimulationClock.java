package org.almondmount.fleet.sim;

import java.util.PriorityQueue;

/**
 * A simulated clock that advances to the time of the next scheduled work.
 */
final class SimulationClock {

	private final PriorityQueue<ScheduledWork> queue = new PriorityQueue<>();

	private long now = 1_000_000;

	private long nextSequence;

	long now() {
		return this.now;
	}

	void scheduleAt(long millis, Runnable work) {
		this.queue.add(new ScheduledWork(Math.max(this.now, millis), this.nextSequence++, work));
	}

	void scheduleAfter(long millis, Runnable work) {
		scheduleAt(this.now + millis, work);
	}

	void runUntil(long millis) {
		while (!this.queue.isEmpty() && this.queue.peek().atMillis <= millis) {
			ScheduledWork next = this.queue.poll();
			this.now = next.atMillis;
			next.work.run();
		}
		this.now = Math.max(this.now, millis);
	}

	/**
	 * Work that is scheduled for a point in time.
	 */
	private record ScheduledWork(long atMillis, long sequence, Runnable work) implements Comparable<ScheduledWork> {

		@Override
		public int compareTo(ScheduledWork other) {
			int byTime = Long.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
