package org.almondmount.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.almondmount.telemetry.EventLog;

/**
 * Runs the tasks of a process one after the other, and provides its clocks and timers.
 */
public interface EventLoop extends AutoCloseable {

	/** Starts to run tasks. */
	void start();

	/**
	 * Returns the time of a monotonic clock.
	 * @return milliseconds since an arbitrary origin
	 */
	long steadyMillis();

	/**
	 * Returns the time of day, which may jump; used for due times only.
	 * @return milliseconds since 1970
	 */
	long wallMillis();

	/**
	 * Runs a task on the event loop.
	 * @param task the task
	 * @return false if the queue is full and the task was rejected
	 */
	boolean execute(Runnable task);

	/**
	 * Runs a task repeatedly.
	 * @param intervalMillis the interval
	 * @param task the task
	 */
	void scheduleRepeatedly(long intervalMillis, Runnable task);

	/**
	 * Runs a task after a delay.
	 * @param delayMillis the delay
	 * @param task the task
	 */
	void schedule(long delayMillis, Runnable task);

	/**
	 * Passes the value of a future to a consumer on the event loop.
	 * @param future completed by any thread, never exceptionally
	 * @param consumer receives the value
	 * @param <T> the type of the value
	 */
	default <T> void onCompletion(CompletableFuture<T> future, Consumer<T> consumer) {
		future.whenComplete((value, failure) -> {
			if (failure != null) {
				EventLog.named("Loop").fault("future-failed", failure);
				return;
			}
			execute(() -> consumer.accept(value));
		});
	}

	@Override
	void close();

}
