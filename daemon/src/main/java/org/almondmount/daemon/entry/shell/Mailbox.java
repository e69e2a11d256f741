package org.almondmount.daemon.entry.shell;

import org.almondmount.concurrent.EventProcessor;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;

/**
 * A duty's ring as the other threads see it. Thread-safe.
 * <p>
 * What comes from outside may fill three quarters of the ring and is refused beyond. The
 * last quarter is kept for the endings of what this process began itself, such as a
 * table's answer: were those refused, a caller would never be answered. It is enough,
 * because the number of operations under way is bounded far below it.
 */
public final class Mailbox implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(Mailbox.class);

	private final String name;

	private final Telemetry telemetry;

	private final int outsideLimit;

	private final EventProcessor<Runnable> duty;

	/**
	 * Makes a mailbox; {@link #start()} begins its duty.
	 * @param name the thread's name
	 * @param capacity the ring's size, a power of two
	 * @param telemetry counts what is refused
	 */
	public Mailbox(String name, int capacity, Telemetry telemetry) {
		this.name = name;
		this.telemetry = telemetry;
		this.outsideLimit = capacity / 4 * 3;
		this.duty = new EventProcessor<>(name, capacity, Runnable::run, this::fault);
		telemetry.gauge("ring." + name, () -> this.duty.queuedCount());
	}

	/** Begins the duty. */
	public void start() {
		this.duty.start();
	}

	/**
	 * Hands over something from outside.
	 * @param work what is to be done on the duty's thread
	 * @return false when it was not taken
	 */
	public boolean offer(Runnable work) {
		return this.duty.queuedCount() < this.outsideLimit && this.duty.offer(work);
	}

	/**
	 * Hands over the ending of something that this process began.
	 * @param work what is to be done on the duty's thread
	 */
	public void deliver(Runnable work) {
		if (!this.duty.offer(work)) {
			this.telemetry.count("ring.overflow");
			LOG.warn("ring-overflow", "duty", this.name);
		}
	}

	@Override
	public void close() {
		this.duty.close();
	}

	private void fault(Throwable fault) {
		this.telemetry.count("duty.fault");
		LOG.fault("duty-fault", fault, "duty", this.name);
	}

}
