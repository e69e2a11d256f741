package org.almondmount.services.impl;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.almondmount.net.IoThreads;

/**
 * Pauses between attempts that double and are spread at random. Thread-safe.
 * <p>
 * Processes that lost the table at the same moment would all come back at the same
 * moment; the spread of half to one and a half pulls them apart.
 */
final class Backoff {

	private final IoThreads io;

	private final Duration initialDelay;

	Backoff(IoThreads io, Duration initialDelay) {
		this.io = io;
		this.initialDelay = initialDelay;
	}

	/**
	 * Does something after the pause that follows an attempt.
	 * @param attempt the attempt that failed, from 1
	 * @param action what to do, on an I/O thread
	 */
	void scheduleAfterAttempt(int attempt, Runnable action) {
		long mean = this.initialDelay.toMillis() << (attempt - 1);
		long pause = mean / 2 + ThreadLocalRandom.current().nextLong(mean + 1);
		this.io.next().schedule(action, pause, TimeUnit.MILLISECONDS);
	}

}
