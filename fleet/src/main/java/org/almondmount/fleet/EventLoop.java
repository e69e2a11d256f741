package org.almondmount.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.almondmount.telemetry.EventLog;

/**
 * Where a process decides, one thing after the other, with its clocks and alarms.
 */
public interface EventLoop extends AutoCloseable {

	/** Begins to take work. */
	void start();

	/**
	 * A clock that never jumps.
	 * @return milliseconds since some moment
	 */
	long steadyMillis();

	/**
	 * The time of day, which may jump; for due times alone.
	 * @return milliseconds since 1970
	 */
	long wallMillis();

	/**
	 * Has something done in its turn.
	 * @param task what to do
	 * @return false when too much waits; then it is not done
	 */
	boolean execute(Runnable task);

	/**
	 * Has something done again and again.
	 * @param intervalMillis the interval
	 * @param task what to do
	 */
	void scheduleRepeatedly(long intervalMillis, Runnable task);

	/**
	 * Has something done later.
	 * @param delayMillis after which time
	 * @param task what to do
	 */
	void schedule(long delayMillis, Runnable task);

	/**
	 * Has the outcome of something taken in its turn.
	 * @param future completes elsewhere, never exceptionally
	 * @param consumer takes the value
	 * @param <T> the value
	 */
	default <T> void onCompletion(CompletableFuture<T> future, Consumer<T> consumer) {
		future.whenComplete((value, failure) -> {
			if (failure != null) {
				EventLog.of(EventLoop.class).fault("future-failed", failure);
				return;
			}
			execute(() -> consumer.accept(value));
		});
	}

	@Override
	void close();

}
