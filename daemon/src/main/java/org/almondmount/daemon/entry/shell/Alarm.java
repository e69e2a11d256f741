package org.almondmount.daemon.entry.shell;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Wakes a duty at a time that it asks for, and at a regular interval besides. Owned by
 * one duty; not thread-safe.
 * <p>
 * Only the earliest wish is kept. A later wish that is dropped comes late by at most the
 * regular interval, when the duty is asked again.
 */
public final class Alarm {

	private static final long NONE = Long.MAX_VALUE;

	private final ScheduledExecutorService timer;

	private final MonotonicClock clock;

	private final Mailbox mailbox;

	private final Runnable wake;

	private long armedFor = NONE;

	/**
	 * Makes an alarm.
	 * @param timer the thread that keeps time
	 * @param clock the duty's clock
	 * @param mailbox the duty
	 * @param wake what is run on the duty's thread
	 */
	public Alarm(ScheduledExecutorService timer, MonotonicClock clock, Mailbox mailbox, Runnable wake) {
		this.timer = timer;
		this.clock = clock;
		this.mailbox = mailbox;
		this.wake = wake;
	}

	/**
	 * Wakes the duty again and again.
	 * @param everyMillis the interval
	 */
	public void every(long everyMillis) {
		this.timer.scheduleAtFixedRate(() -> this.mailbox.offer(this.wake), everyMillis, everyMillis,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Wakes the duty at a time, unless an earlier wish is armed.
	 * @param atMillis the time of the duty's clock
	 */
	public void at(long atMillis) {
		if (atMillis >= this.armedFor) {
			return;
		}
		this.armedFor = atMillis;
		long delay = Math.max(0, atMillis - this.clock.millis());
		try {
			this.timer.schedule(() -> this.mailbox.offer(() -> ring(atMillis)), delay, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			this.armedFor = NONE;
		}
	}

	private void ring(long atMillis) {
		if (this.armedFor == atMillis) {
			this.armedFor = NONE;
		}
		this.wake.run();
	}

}
