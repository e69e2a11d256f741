package org.almondmount.services.util;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.almondmount.telemetry.EventLog;

/**
 * Logs events that strangers can cause at any rate. At most a given number of lines is
 * logged in a second; each line says how many were left out before it. Thread-safe.
 */
public final class LimitedLog {

	private final EventLog log;

	private final RateLimiter lines;

	private final AtomicLong unlogged = new AtomicLong();

	/**
	 * Creates a limited log.
	 * @param log receives the lines
	 * @param linesPerSecond the maximum number of lines in a second
	 * @param nanoClock a monotonic clock in nanoseconds
	 */
	public LimitedLog(EventLog log, int linesPerSecond, LongSupplier nanoClock) {
		this.log = log;
		this.lines = new RateLimiter(linesPerSecond, nanoClock);
	}

	/**
	 * Logs an expected event unless the limit is reached.
	 * @param event the event's name, a constant
	 * @param keysAndValues alternating constant keys and values
	 */
	public void info(String event, Object... keysAndValues) {
		if (acquire()) {
			this.log.info(event, withUnlogged(keysAndValues));
		}
	}

	/**
	 * Logs an event that may need the attention of an operator unless the limit is
	 * reached.
	 * @param event the event's name, a constant
	 * @param keysAndValues alternating constant keys and values
	 */
	public void warn(String event, Object... keysAndValues) {
		if (acquire()) {
			this.log.warn(event, withUnlogged(keysAndValues));
		}
	}

	private boolean acquire() {
		if (this.lines.tryAcquire()) {
			return true;
		}
		this.unlogged.incrementAndGet();
		return false;
	}

	private Object[] withUnlogged(Object[] keysAndValues) {
		Object[] extended = Arrays.copyOf(keysAndValues, keysAndValues.length + 2);
		extended[keysAndValues.length] = "unlogged";
		extended[keysAndValues.length + 1] = this.unlogged.getAndSet(0);
		return extended;
	}

}
