package org.almondmount.concurrent;

import java.lang.invoke.VarHandle;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.jctools.queues.MpscArrayQueue;

/**
 * A thread with one duty, fed by a bounded ring.
 * <p>
 * A full ring refuses: {@link #offer} returns false and the one who offered answers its
 * own caller with a typed reason. It never blocks and never drops silently. Thread-safe.
 *
 * @param <E> what the duty takes
 */
public final class EventProcessor<E> implements AutoCloseable {

	private static final long MAX_PARK_NANOS = 1_000_000_000L;

	private final MpscArrayQueue<E> queue;

	private final Consumer<E> handler;

	private final Consumer<Throwable> faultHandler;

	private final long maxParkNanos;

	private final Thread thread;

	private volatile boolean idle;

	private volatile boolean closed;

	/**
	 * Makes a duty; {@link #start()} begins it.
	 * @param name the thread's name
	 * @param capacity the ring's size
	 * @param handler what is done with each element, on the duty's thread
	 * @param faultHandler told of anything that the work throws; the duty goes on
	 */
	public EventProcessor(String name, int capacity, Consumer<E> handler, Consumer<Throwable> faultHandler) {
		this(name, capacity, handler, faultHandler, MAX_PARK_NANOS);
	}

	EventProcessor(String name, int capacity, Consumer<E> handler, Consumer<Throwable> faultHandler,
			long maxParkNanos) {
		this.maxParkNanos = maxParkNanos;
		this.queue = new MpscArrayQueue<>(capacity);
		this.handler = handler;
		this.faultHandler = faultHandler;
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
	}

	public void start() {
		this.thread.start();
	}

	/**
	 * Hands an element to the duty.
	 * @param element the element
	 * @return false when the ring is full or the duty has ended; then it was not taken
	 */
	public boolean offer(E element) {
		if (this.closed || !this.queue.offer(element)) {
			return false;
		}
		VarHandle.fullFence();
		if (this.idle) {
			LockSupport.unpark(this.thread);
		}
		return true;
	}

	/**
	 * Elements that wait now.
	 * @return a count
	 */
	public int queuedCount() {
		return this.queue.size();
	}

	/**
	 * Takes nothing more; what waits is still worked on, then the thread ends.
	 */
	@Override
	public void close() {
		this.closed = true;
		LockSupport.unpark(this.thread);
	}

	private void run() {
		while (true) {
			E element = this.queue.poll();
			if (element != null) {
				handle(element);
				continue;
			}
			if (this.closed) {
				return;
			}
			park();
		}
	}

	private void handle(E element) {
		try {
			this.handler.accept(element);
		}
		catch (RuntimeException | Error ex) {
			this.faultHandler.accept(ex);
		}
	}

	// An offer may slip in between the look at the ring and the nap, and would wait for
	// the nap's end. Whoever offers looks at the flag after its element is in the ring,
	// and this side looks at the ring after raising the flag; the fences keep either from
	// doing it the other way round, so that one of the two always sees the other.
	private void park() {
		this.idle = true;
		VarHandle.fullFence();
		if (this.queue.isEmpty() && !this.closed) {
			LockSupport.parkNanos(this.maxParkNanos);
		}
		this.idle = false;
	}

}
