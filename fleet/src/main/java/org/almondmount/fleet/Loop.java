package org.almondmount.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.almondmount.telemetry.EventLog;

/**
 * Where a process decides, one thing after the other, with its clocks and alarms.
 */
public interface Loop extends AutoCloseable {

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
	 * @param work what to do
	 * @return false when too much waits; then it is not done
	 */
	boolean run(Runnable work);

	/**
	 * Has something done again and again.
	 * @param everyMillis the interval
	 * @param work what to do
	 */
	void every(long everyMillis, Runnable work);

	/**
	 * Has something done later.
	 * @param delayMillis after which time
	 * @param work what to do
	 */
	void after(long delayMillis, Runnable work);

	/**
	 * Has the outcome of something taken in its turn.
	 * @param future completes elsewhere, never exceptionally
	 * @param taker takes the value
	 * @param <T> the value
	 */
	default <T> void then(CompletableFuture<T> future, Consumer<T> taker) {
		future.whenComplete((value, failure) -> {
			if (failure != null) {
				EventLog.of(Loop.class).fault("future-failed", failure);
				return;
			}
			run(() -> taker.accept(value));
		});
	}

	@Override
	void close();

}
