package org.almondmount.fleet.sim;

import java.util.PriorityQueue;

/**
 * A clock that moves on by what is to be done next.
 */
final class VirtualTime {

	private final PriorityQueue<Entry> queue = new PriorityQueue<>();

	private long now = 1_000_000;

	private long order;

	long now() {
		return this.now;
	}

	void at(long millis, Runnable work) {
		this.queue.add(new Entry(Math.max(this.now, millis), this.order++, work));
	}

	void after(long millis, Runnable work) {
		at(this.now + millis, work);
	}

	void runUntil(long millis) {
		while (!this.queue.isEmpty() && this.queue.peek().at <= millis) {
			Entry next = this.queue.poll();
			this.now = next.at;
			next.work.run();
		}
		this.now = Math.max(this.now, millis);
	}

	/**
	 * One thing to do.
	 */
	private record Entry(long at, long order, Runnable work) implements Comparable<Entry> {

		@Override
		public int compareTo(Entry other) {
			int byTime = Long.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}
