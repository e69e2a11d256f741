package org.almondmount.services;

import java.time.Duration;

/**
 * How the client of the table service behaves. Immutable.
 *
 * @param timeout for one exchange with the table
 * @param maxAttempts exchanges for one operation, at least 1
 * @param initialBackoff mean pause before the second attempt; it doubles with each
 * further one
 * @param writesPerSecond transactions that this process may send, also the burst
 * @param readsPerSecond reads and scans that this process may send, also the burst
 */
public record TableOptions(Duration timeout, int maxAttempts, Duration initialBackoff, int writesPerSecond,
		int readsPerSecond) {

	/** The options that hold where nothing else is said. */
	public static final TableOptions DEFAULT = new TableOptions(Duration.ofMillis(800), 3, Duration.ofMillis(50), 200,
			1_000);

}
