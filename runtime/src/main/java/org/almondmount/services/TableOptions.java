package org.almondmount.services;

import java.time.Duration;

/**
 * Options of the table service client. Immutable.
 *
 * @param timeout timeout of a single exchange with the table
 * @param maxAttempts maximum number of exchanges per operation, at least 1
 * @param initialBackoff mean pause before the second attempt; it doubles with each
 * further attempt
 * @param writesPerSecond maximum transactions per second of this process, also the burst
 * @param readsPerSecond maximum reads and scans per second of this process, also the
 * burst
 */
public record TableOptions(Duration timeout, int maxAttempts, Duration initialBackoff, int writesPerSecond,
		int readsPerSecond) {

	/** The default options. */
	public static final TableOptions DEFAULT = new TableOptions(Duration.ofMillis(800), 3, Duration.ofMillis(50), 200,
			1_000);

}
