package org.almondmount.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.almondmount.duty.Duty;
import org.almondmount.telemetry.EventLog;

/**
 * The one thread on which a process decides, with its clocks and alarms. Thread-safe:
 * whatever arrives elsewhere is handed over through a bounded ring.
 */
public final class Loop implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(Loop.class);

	private static final int RING = 1 << 14;

	private final Duty<Runnable> duty = new Duty<>("decisions", RING, Runnable::run,
			(fault) -> LOG.fault("decision-fault", fault));

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((work) -> {
		Thread thread = new Thread(work, "timer");
		thread.setDaemon(true);
		return thread;
	});

	public void start() {
		this.duty.start();
	}

	/**
	 * A clock that never jumps.
	 * @return milliseconds since some moment
	 */
	public long steadyMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Has something done on the thread.
	 * @param work what to do
	 * @return false when the ring is full; then it is not done
	 */
	public boolean run(Runnable work) {
		if (this.duty.offer(work)) {
			return true;
		}
		LOG.warn("ring-full", "waiting", this.duty.waiting());
		return false;
	}

	/**
	 * Has something done on the thread again and again.
	 * @param everyMillis the interval
	 * @param work what to do
	 */
	public void every(long everyMillis, Runnable work) {
		this.timer.scheduleWithFixedDelay(() -> run(work), everyMillis, everyMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Has something done on the thread later.
	 * @param delayMillis after which time
	 * @param work what to do
	 */
	public void after(long delayMillis, Runnable work) {
		try {
			this.timer.schedule(() -> run(work), delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			LOG.info("alarm-dropped", "why", "the process is shutting down");
		}
	}

	/**
	 * Has the outcome of something taken on the thread.
	 * @param future completes elsewhere, never exceptionally
	 * @param taker takes the value
	 * @param <T> the value
	 */
	public <T> void then(CompletableFuture<T> future, Consumer<T> taker) {
		future.whenComplete((value, failure) -> {
			if (failure != null) {
				LOG.fault("future-failed", failure);
				return;
			}
			run(() -> taker.accept(value));
		});
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.duty.close();
	}

}
