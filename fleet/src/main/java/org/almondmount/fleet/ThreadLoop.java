package org.almondmount.fleet;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.almondmount.concurrent.EventProcessor;
import org.almondmount.telemetry.EventLog;

/**
 * A loop on a thread of its own. Thread-safe: whatever arrives elsewhere is handed over
 * through a bounded ring.
 */
public final class ThreadLoop implements Loop {

	private static final EventLog LOG = EventLog.of(ThreadLoop.class);

	private static final int RING = 1 << 14;

	private final EventProcessor<Runnable> duty = new EventProcessor<>("decisions", RING, Runnable::run,
			(fault) -> LOG.fault("decision-fault", fault));

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((work) -> {
		Thread thread = new Thread(work, "timer");
		thread.setDaemon(true);
		return thread;
	});

	@Override
	public void start() {
		this.duty.start();
	}

	@Override
	public long steadyMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	@Override
	public long wallMillis() {
		return System.currentTimeMillis();
	}

	@Override
	public boolean run(Runnable work) {
		if (this.duty.offer(work)) {
			return true;
		}
		LOG.warn("ring-full", "waiting", this.duty.queuedCount());
		return false;
	}

	@Override
	public void every(long everyMillis, Runnable work) {
		this.timer.scheduleWithFixedDelay(() -> run(work), everyMillis, everyMillis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void after(long delayMillis, Runnable work) {
		try {
			this.timer.schedule(() -> run(work), delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			LOG.info("alarm-dropped", "why", "the process is shutting down");
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.duty.close();
	}

}
