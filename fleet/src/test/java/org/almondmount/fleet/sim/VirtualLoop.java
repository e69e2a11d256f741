package org.almondmount.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

import org.almondmount.fleet.EventLoop;

/**
 * The loop of one simulated process; it can be paused and killed, and be busy for a while
 * after each thing that it did.
 */
final class VirtualLoop implements EventLoop {

	private final VirtualTime time;

	private final Deque<Runnable> held = new ArrayDeque<>();

	private boolean dead;

	private boolean paused;

	/** How long the last thing that was done takes on this machine, in milliseconds. */
	private LongSupplier cost = () -> 0;

	private long busyUntil = Long.MIN_VALUE;

	VirtualLoop(VirtualTime time) {
		this.time = time;
	}

	/**
	 * Makes the machine slow.
	 * @param millis asked after each thing that was done: how long it took
	 */
	void costs(LongSupplier millis) {
		this.cost = millis;
	}

	void kill() {
		this.dead = true;
		this.held.clear();
	}

	void pause(long millis) {
		this.paused = true;
		this.time.after(millis, this::wake);
	}

	private void wake() {
		this.paused = false;
		while (!this.held.isEmpty() && !this.dead) {
			this.held.poll().run();
		}
	}

	boolean dead() {
		return this.dead;
	}

	@Override
	public void start() {
		// begins at once
	}

	@Override
	public long steadyMillis() {
		return this.time.now();
	}

	@Override
	public long wallMillis() {
		return this.time.now();
	}

	@Override
	public boolean execute(Runnable work) {
		this.time.after(0, () -> now(work));
		return true;
	}

	@Override
	public void scheduleRepeatedly(long everyMillis, Runnable work) {
		this.time.after(everyMillis, () -> {
			if (this.dead) {
				return;
			}
			now(work);
			scheduleRepeatedly(everyMillis, work);
		});
	}

	@Override
	public void schedule(long delayMillis, Runnable work) {
		this.time.after(delayMillis, () -> now(work));
	}

	@Override
	public void close() {
		kill();
	}

	private void now(Runnable work) {
		if (this.dead) {
			return;
		}
		if (this.paused) {
			this.held.add(work);
			return;
		}
		if (this.time.now() < this.busyUntil) {
			this.time.at(this.busyUntil, () -> now(work));
			return;
		}
		work.run();
		this.busyUntil = this.time.now() + this.cost.getAsLong();
	}

}
