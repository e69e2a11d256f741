package org.almondmount.fleet.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.almondmount.fleet.AdaptiveStoreTimeout;
import org.almondmount.fleet.EventLoop;
import org.almondmount.fleet.Tables;
import org.almondmount.rows.RowStore;

/**
 * Detects when a store that stopped answering answers again. Confined to the event loop
 * thread.
 * <p>
 * A request sent to a silent store is lost, and waiting for its answer delays the
 * detection by as long as a slow store may take. So a new request follows soon, whether
 * or not the last one was answered. It is a read, since a job that is sent as a probe can
 * no longer be refused. The first entry that gets an answer notifies the others.
 */
final class StoreProbe {

	/**
	 * Interval of requests while a caller waits for the store, in milliseconds.
	 */
	private static final long PROBE_INTERVAL_MILLIS = 100;

	/** Ticks per request while no caller waits. */
	private static final int TICKS_PER_PROBE_WHEN_IDLE = 3;

	private final RowStore store;

	private final EventLoop loop;

	private final AdaptiveStoreTimeout storeTimeout;

	private final BooleanSupplier callerWaiting;

	private final List<Runnable> listeners = new ArrayList<>();

	private int tickCount;

	private boolean probing;

	/**
	 * Creates a probe that sends nothing before {@link #start()}.
	 * @param store the store
	 * @param loop the event loop
	 * @param storeTimeout tracks whether the store is silent
	 * @param callerWaiting whether a caller waits for the store
	 */
	StoreProbe(RowStore store, EventLoop loop, AdaptiveStoreTimeout storeTimeout, BooleanSupplier callerWaiting) {
		this.callerWaiting = callerWaiting;
		this.store = store;
		this.loop = loop;
		this.storeTimeout = storeTimeout;
	}

	/**
	 * Adds a listener that is called each time the store answers again.
	 * @param listener the listener
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

	/** Sends a request at once, because another call or another entry got an answer. */
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
