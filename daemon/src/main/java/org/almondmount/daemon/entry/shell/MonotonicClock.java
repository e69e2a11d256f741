package org.almondmount.daemon.entry.shell;

import java.util.function.LongSupplier;

/**
 * Milliseconds that never go back, from an arbitrary origin. Thread-safe.
 */
public final class MonotonicClock {

	private static final long NANOS_A_MILLI = 1_000_000L;

	private final LongSupplier nanos;

	private final long origin;

	public MonotonicClock(LongSupplier nanos) {
		this.nanos = nanos;
		this.origin = nanos.getAsLong();
	}

	/**
	 * The clock of this machine, which a change of the date does not move.
	 * @return a clock
	 */
	public static MonotonicClock system() {
		return new MonotonicClock(System::nanoTime);
	}

	/**
	 * The time now.
	 * @return milliseconds since the clock was made
	 */
	public long millis() {
		return (this.nanos.getAsLong() - this.origin) / NANOS_A_MILLI;
	}

}
