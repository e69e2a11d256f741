package org.almondmount.concurrent;

import java.lang.invoke.VarHandle;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.jctools.queues.MpscArrayQueue;

/**
 * A single thread that passes the elements of a bounded queue to a handler, one at a time
 * and in order.
 * <p>
 * If the queue is full, {@link #offer} returns false, so that the producer can answer its
 * own caller with a typed reason. Offering never blocks and never drops an element
 * silently. Thread-safe.
 *
 * @param <E> the type of the elements
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

	private volatile long unreportedCount;

	/**
	 * Creates a processor; {@link #start()} starts its thread.
	 * @param name the name of the thread
	 * @param capacity the capacity of the queue
	 * @param handler called for each element on the processor's thread
	 * @param faultHandler called with anything that the handler throws; processing
	 * continues with the next element
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
	 * Adds an element to the queue.
	 * @param element the element
	 * @return false if the queue is full or the processor is closed; the element was not
	 * added then
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
	 * Returns the number of elements in the queue.
	 * @return the number at this moment
	 */
	public int queuedCount() {
		return this.queue.size();
	}

	/**
	 * Rejects further elements. Those in the queue are still processed, then the thread
	 * ends.
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
			report(ex);
		}
	}

	// The report fails as well when memory is short. Without its thread the process would
	// look alive and do nothing, so the thread goes on and leaves the end of the process
	// to the JVM.
	private void report(Throwable fault) {
		try {
			this.faultHandler.accept(fault);
		}
		catch (RuntimeException | Error ex) {
			this.unreportedCount++;
		}
	}

	/**
	 * Returns how many faults could not be reported.
	 * @return the number since the start
	 */
	public long unreportedCount() {
		return this.unreportedCount;
	}

	// An element offered between the check of the queue and parkNanos would otherwise
	// stay in the queue until the park timeout. The producer reads the idle flag after
	// adding its element, and this thread checks the queue after setting the flag. The
	// full fences prevent reordering on either side, so at least one of the two sees the
	// other's write.
	private void park() {
		this.idle = true;
		VarHandle.fullFence();
		if (this.queue.isEmpty() && !this.closed) {
			LockSupport.parkNanos(this.maxParkNanos);
		}
		this.idle = false;
	}

}
