package org.almondmount.intake;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Jobs that wait for the store, the urgent ones first and the oldest first among alike.
 * Mutable; not thread-safe.
 * <p>
 * It answers the return of the store after an outage: without an order the last to come
 * would often be first, and an urgent job of three seconds would wait behind work that
 * has minutes.
 *
 * @param <T> what waits
 */
public final class IntakeQueue<T> {

	private static final Comparator<Item<?>> ORDER = Comparator.comparingInt((Item<?> place) -> place.priority())
		.thenComparingLong(Item::sequenceNumber);

	private final TreeSet<Item<T>> items = new TreeSet<>(ORDER);

	private final int capacity;

	private long lastSequenceNumber;

	/**
	 * Makes an empty line.
	 * @param capacity how many may wait
	 */
	public IntakeQueue(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds something at the end of its priority.
	 * @param priority 0 for the most urgent
	 * @param expiresAtMillis until when it waits
	 * @param value what waits
	 * @return false where the line is full; then it is not added
	 */
	public boolean add(int priority, long expiresAtMillis, T value) {
		if (this.items.size() >= this.capacity) {
			return false;
		}
		this.items.add(new Item<>(priority, ++this.lastSequenceNumber, expiresAtMillis, value));
		return true;
	}

	/**
	 * Takes the first one out that is ready.
	 * @param ready whether something may go on now
	 * @return the first, or empty where nothing that waits is ready
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
	 * Takes out what has waited long enough.
	 * @param nowMillis the time
	 * @return what waited until now or longer, in its order
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
	 * One that waits.
	 */
	private record Item<T>(int priority, long sequenceNumber, long expiresAtMillis, T value) {
	}

}
