package org.almondmount.fleet.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.almondmount.fleet.AdaptiveStoreTimeout;
import org.almondmount.fleet.EventLoop;
import org.almondmount.fleet.Tables;
import org.almondmount.rows.RowStore;

/**
 * Finds out when a store that fell silent answers again. Belongs to the loop's thread.
 * <p>
 * A question that was sent into the silence is lost, and waiting for its answer delays
 * the news by as much as a slow store may take. So a new one is sent soon, whether the
 * last one was answered or not. It is a read: a job that is sent to find out can't be
 * refused any more. Whoever hears first tells the other entries.
 */
final class StoreProbe {

	/**
	 * Pause between two questions while a caller waits for the answer, in milliseconds.
	 */
	private static final long PROBE_INTERVAL_MILLIS = 100;

	/** Turns between two questions while nobody waits. */
	private static final int TICKS_PER_PROBE_WHEN_IDLE = 3;

	private final RowStore store;

	private final EventLoop loop;

	private final AdaptiveStoreTimeout storeTimeout;

	private final BooleanSupplier callerWaiting;

	private final List<Runnable> listeners = new ArrayList<>();

	private int tickCount;

	private boolean probing;

	/**
	 * Makes a probe that asks nothing before {@link #start()}.
	 * @param store the store
	 * @param loop the thread
	 * @param storeTimeout knows whether the store is silent
	 * @param callerWaiting whether a caller waits for the store
	 */
	StoreProbe(RowStore store, EventLoop loop, AdaptiveStoreTimeout storeTimeout, BooleanSupplier callerWaiting) {
		this.callerWaiting = callerWaiting;
		this.store = store;
		this.loop = loop;
		this.storeTimeout = storeTimeout;
	}

	/**
	 * Has something done each time the store answers again.
	 * @param listener what to do
	 */
	void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	void start() {
		this.loop.scheduleRepeatedly(PROBE_INTERVAL_MILLIS, () -> {
			this.tickCount++;
			if (this.callerWaiting.getAsBoolean() || this.tickCount % TICKS_PER_PROBE_WHEN_IDLE == 0) {
				probe();
			}
		});
	}

	/** Asks at once: something else was answered, or another entry was. */
	void probe() {
		if (!this.storeTimeout.isSilenceExpected()) {
			if (this.probing) {
				notifyAnswering();
			}
			return;
		}
		this.probing = true;
		long sentAtMillis = this.loop.steadyMillis();
		this.loop.onCompletion(
				this.store.read(Tables.TERM.table(), Tables.TERM.key(), 1, AdaptiveStoreTimeout.maxTimeout()),
				(read) -> {
					if (this.probing && read instanceof RowStore.Read.Found) {
						this.storeTimeout.onAnswer(this.loop.steadyMillis() - sentAtMillis);
						notifyAnswering();
					}
				});
	}

	private void notifyAnswering() {
		this.probing = false;
		this.listeners.forEach(Runnable::run);
	}

}
