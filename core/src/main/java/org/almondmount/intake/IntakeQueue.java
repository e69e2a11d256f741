package org.almondmount.intake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queue of the jobs that wait for the store, ordered by priority and then by arrival.
 * Mutable; not thread-safe.
 * <p>
 * The order matters when the store returns after an outage: without it the most recent
 * job would often be first, and an urgent job with a timeout of three seconds would wait
 * behind jobs with timeouts of minutes.
 *
 * @param <T> the type of the queued values
 */
public final class IntakeQueue<T> {

	private static final Comparator<Item<?>> ORDER = Comparator.comparingInt((Item<?> place) -> place.priority())
		.thenComparingLong(Item::sequenceNumber);

	private final TreeSet<Item<T>> items = new TreeSet<>(ORDER);

	private final int capacity;

	private long lastSequenceNumber;

	/**
	 * Creates an empty queue.
	 * @param capacity the maximum number of items
	 */
	public IntakeQueue(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds a value behind all others of its priority.
	 * @param priority 0 for the most urgent
	 * @param expiresAtMillis the time at which it expires
	 * @param value the value to add
	 * @return false if the queue is full and the value was not added
	 */
	public boolean add(int priority, long expiresAtMillis, T value) {
		if (this.items.size() >= this.capacity) {
			return false;
		}
		this.items.add(new Item<>(priority, ++this.lastSequenceNumber, expiresAtMillis, value));
		return true;
	}

	/**
	 * Removes and returns the first value that is ready.
	 * @param ready tests whether a value may proceed now
	 * @return the first ready value, or empty if there is none
	 */
	public Optional<T> takeFirst(Predicate<T> ready) {
		for (Item<T> item : this.items) {
			if (ready.test(item.value())) {
				this.items.remove(item);
				return Optional.of(item.value());
			}
		}
		return Optional.empty();
	}

	/**
	 * Removes and returns the expired values.
	 * @param nowMillis the time
	 * @return the expired values in queue order
	 */
	public List<T> takeExpired(long nowMillis) {
		List<T> expired = new ArrayList<>();
		this.items.removeIf((item) -> {
			boolean isExpired = item.expiresAtMillis() <= nowMillis;
			if (isExpired) {
				expired.add(item.value());
			}
			return isExpired;
		});
		return expired;
	}

	public int size() {
		return this.items.size();
	}

	/**
	 * A queued value.
	 */
	private record Item<T>(int priority, long sequenceNumber, long expiresAtMillis, T value) {
	}

}
