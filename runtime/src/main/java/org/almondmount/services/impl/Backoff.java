package org.almondmount.services.impl;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.almondmount.net.IoThreads;

/**
 * Exponential backoff with jitter between attempts. Thread-safe.
 * <p>
 * Processes that lose the table at the same time would otherwise all retry at the same
 * time. The jitter spreads each pause between 0.5 and 1.5 times its mean.
 */
final class Backoff {

	private final IoThreads io;

	private final Duration initialDelay;

	Backoff(IoThreads io, Duration initialDelay) {
		this.io = io;
		this.initialDelay = initialDelay;
	}

	/**
	 * Schedules an action after the pause that follows a failed attempt.
	 * @param attempt the attempt that failed, from 1
	 * @param action the action, called on an I/O thread
	 */
	void scheduleAfterAttempt(int attempt, Runnable action) {
		long mean = this.initialDelay.toMillis() << (attempt - 1);
		long pause = mean / 2 + ThreadLocalRandom.current().nextLong(mean + 1);
		this.io.next().schedule(action, pause, TimeUnit.MILLISECONDS);
	}

}
