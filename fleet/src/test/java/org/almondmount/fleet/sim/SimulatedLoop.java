package org.almondmount.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

import org.almondmount.fleet.EventLoop;

/**
 * The event loop of one simulated process. It can be paused and killed, and can stay busy
 * for some time after each piece of work.
 */
final class SimulatedLoop implements EventLoop {

	private final SimulationClock clock;

	private final Deque<Runnable> deferredWork = new ArrayDeque<>();

	private boolean dead;

	private boolean paused;

	/** Returns how long the last piece of work occupies the loop, in milliseconds. */
	private LongSupplier workDurationMillis = () -> 0;

	private long busyUntilMillis = Long.MIN_VALUE;

	SimulatedLoop(SimulationClock time) {
		this.clock = time;
	}

	/**
	 * Sets how long each piece of work occupies the loop.
	 * @param millis called after each piece of work; returns its duration in milliseconds
	 */
	void setWorkDuration(LongSupplier millis) {
		this.workDurationMillis = millis;
	}

	void kill() {
		this.dead = true;
		this.deferredWork.clear();
	}

	void pause(long millis) {
		this.paused = true;
		this.clock.scheduleAfter(millis, this::resume);
	}

	private void resume() {
		this.paused = false;
		while (!this.deferredWork.isEmpty() && !this.dead) {
			this.deferredWork.poll().run();
		}
	}

	boolean isDead() {
		return this.dead;
	}

	@Override
	public void start() {
		// the loop runs from its construction
	}

	@Override
	public long steadyMillis() {
		return this.clock.now();
	}

	@Override
	public long wallMillis() {
		return this.clock.now();
	}

	@Override
	public boolean execute(Runnable work) {
		this.clock.scheduleAfter(0, () -> runWhenIdle(work));
		return true;
	}

	@Override
	public void scheduleRepeatedly(long intervalMillis, Runnable work) {
		this.clock.scheduleAfter(intervalMillis, () -> {
			if (this.dead) {
				return;
			}
			runWhenIdle(work);
			scheduleRepeatedly(intervalMillis, work);
		});
	}

	@Override
	public void schedule(long delayMillis, Runnable work) {
		this.clock.scheduleAfter(delayMillis, () -> runWhenIdle(work));
	}

	@Override
	public void close() {
		kill();
	}

	private void runWhenIdle(Runnable work) {
		if (this.dead) {
			return;
		}
		if (this.paused) {
			this.deferredWork.add(work);
			return;
		}
		if (this.clock.now() < this.busyUntilMillis) {
			this.clock.scheduleAt(this.busyUntilMillis, () -> runWhenIdle(work));
			return;
		}
		work.run();
		this.busyUntilMillis = this.clock.now() + this.workDurationMillis.getAsLong();
	}

}
