package org.almondmount.fleet;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.almondmount.concurrent.EventProcessor;
import org.almondmount.telemetry.EventLog;

/**
 * An event loop with a thread of its own. Thread-safe: tasks of other threads are passed
 * on through a bounded ring buffer.
 */
public final class SingleThreadEventLoop implements EventLoop {

	private static final EventLog LOG = EventLog.named("ThreadLoop");

	private static final int RING_CAPACITY = 1 << 14;

	private final EventProcessor<Runnable> duty = new EventProcessor<>("decisions", RING_CAPACITY, Runnable::run,
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
	public boolean execute(Runnable task) {
		if (this.duty.offer(task)) {
			return true;
		}
		LOG.warn("ring-full", "waiting", this.duty.queuedCount());
		return false;
	}

	@Override
	public void scheduleRepeatedly(long intervalMillis, Runnable task) {
		this.timer.scheduleWithFixedDelay(() -> executeRepeated(task), intervalMillis, intervalMillis,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void schedule(long delayMillis, Runnable task) {
		try {
			this.timer.schedule(() -> execute(task), delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			LOG.info("alarm-dropped", "why", "the process is shutting down");
		}
	}

	// The timer never runs a task again that has thrown something.
	private void executeRepeated(Runnable task) {
		try {
			execute(task);
		}
		catch (RuntimeException | Error ex) {
			LOG.fault("alarm-fault", ex);
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.duty.close();
	}

}
