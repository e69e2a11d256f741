package org.almondmount.http.impl;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.almondmount.http.CallMemory;
import org.almondmount.intake.TurnDecision;

/**
 * Lets connections that used up their processing allowance read in turns, one at a time,
 * those that used the least first. Several of them together use at most half of the
 * thread. Confined to one event-loop thread.
 */
final class ReadPacer {

	private final EventLoop loop;

	private final CallMemory memory;

	private final Queue<HttpServerConnection> waiting = new PriorityQueue<>(
			Comparator.comparingLong(HttpServerConnection::usedParts));

	private long lastTurnNanos;

	private long restNanos;

	private boolean scheduled;

	ReadPacer(EventLoop loop, CallMemory memory) {
		this.loop = loop;
		this.memory = memory;
	}

	/**
	 * Makes a connection wait for its next turn.
	 * @param connection the connection
	 * @param turnNanos the duration of its last turn
	 */
	void enqueue(HttpServerConnection connection, long turnNanos) {
		this.waiting.add(connection);
		this.lastTurnNanos = turnNanos;
		schedule();
	}

	/**
	 * Forgets a connection that has been closed.
	 * @param connection the connection
	 */
	void remove(HttpServerConnection connection) {
		this.waiting.remove(connection);
	}

	private void schedule() {
		if (!this.scheduled && !this.waiting.isEmpty()) {
			this.scheduled = true;
			long shareNanos = (this.waiting.size() > 1) ? this.lastTurnNanos : 0;
			this.loop.schedule(this::grantNext, Math.max(this.restNanos, shareNanos), TimeUnit.NANOSECONDS);
		}
	}

	private void grantNext() {
		this.scheduled = false;
		HttpServerConnection next = this.waiting.poll();
		if (next == null) {
			return;
		}
		TurnDecision decision = TurnDecision.of(this.memory.usedBytes(), this.memory.capacityBytes(), next.heldBytes());
		this.restNanos = decision.rest().toNanos();
		next.takeTurn(decision);
		schedule();
	}

}
