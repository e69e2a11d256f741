package org.almondmount.fleet.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.almondmount.fleet.Loop;
import org.almondmount.fleet.StorePatience;
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
	private static final long PAUSE_MILLIS = 100;

	/** Turns between two questions while nobody waits. */
	private static final int TURNS_WHEN_IDLE = 3;

	private final RowStore store;

	private final Loop loop;

	private final StorePatience patience;

	private final BooleanSupplier waitedFor;

	private final List<Runnable> listeners = new ArrayList<>();

	private int turn;

	private boolean asking;

	/**
	 * Makes a probe that asks nothing before {@link #start()}.
	 * @param store the store
	 * @param loop the thread
	 * @param patience knows whether the store is silent
	 * @param waitedFor whether a caller waits for the store
	 */
	StoreProbe(RowStore store, Loop loop, StorePatience patience, BooleanSupplier waitedFor) {
		this.waitedFor = waitedFor;
		this.store = store;
		this.loop = loop;
		this.patience = patience;
	}

	/**
	 * Has something done each time the store answers again.
	 * @param listener what to do
	 */
	void whenAnswering(Runnable listener) {
		this.listeners.add(listener);
	}

	void start() {
		this.loop.every(PAUSE_MILLIS, () -> {
			this.turn++;
			if (this.waitedFor.getAsBoolean() || this.turn % TURNS_WHEN_IDLE == 0) {
				ask();
			}
		});
	}

	/** Asks at once: something else was answered, or another entry was. */
	void ask() {
		if (!this.patience.expectsSilence()) {
			if (this.asking) {
				answering();
			}
			return;
		}
		this.asking = true;
		long sentAt = this.loop.steadyMillis();
		this.loop.then(this.store.read(Tables.TERM.table(), Tables.TERM.key(), 1, StorePatience.longest()), (read) -> {
			if (this.asking && read instanceof RowStore.Read.Found) {
				this.patience.answered(this.loop.steadyMillis() - sentAt);
				answering();
			}
		});
	}

	private void answering() {
		this.asking = false;
		this.listeners.forEach(Runnable::run);
	}

}
