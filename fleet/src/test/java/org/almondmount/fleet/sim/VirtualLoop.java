package org.almondmount.fleet.sim;

import java.util.ArrayDeque;
import java.util.Deque;

import org.almondmount.fleet.Loop;

/**
 * The loop of one simulated process; it can be paused and killed.
 */
final class VirtualLoop implements Loop {

	private final VirtualTime time;

	private final Deque<Runnable> held = new ArrayDeque<>();

	private boolean dead;

	private boolean paused;

	VirtualLoop(VirtualTime time) {
		this.time = time;
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
	public boolean run(Runnable work) {
		this.time.after(0, () -> now(work));
		return true;
	}

	@Override
	public void every(long everyMillis, Runnable work) {
		this.time.after(everyMillis, () -> {
			if (this.dead) {
				return;
			}
			now(work);
			every(everyMillis, work);
		});
	}

	@Override
	public void after(long delayMillis, Runnable work) {
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
		work.run();
	}

}
