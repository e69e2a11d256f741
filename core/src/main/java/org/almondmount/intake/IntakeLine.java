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
public final class IntakeLine<T> {

	private static final Comparator<Place<?>> ORDER = Comparator.comparingInt((Place<?> place) -> place.priority())
		.thenComparingLong(Place::number);

	private final TreeSet<Place<T>> places = new TreeSet<>(ORDER);

	private final int most;

	private long lastNumber;

	/**
	 * Makes an empty line.
	 * @param most how many may wait
	 */
	public IntakeLine(int most) {
		this.most = most;
	}

	/**
	 * Adds something at the end of its priority.
	 * @param priority 0 for the most urgent
	 * @param untilMillis until when it waits
	 * @param waiting what waits
	 * @return false where the line is full; then it is not added
	 */
	public boolean add(int priority, long untilMillis, T waiting) {
		if (this.places.size() >= this.most) {
			return false;
		}
		this.places.add(new Place<>(priority, ++this.lastNumber, untilMillis, waiting));
		return true;
	}

	/**
	 * Takes the first one out that is ready.
	 * @param ready whether something may go on now
	 * @return the first, or empty where nothing that waits is ready
	 */
	public Optional<T> takeFirst(Predicate<T> ready) {
		for (Place<T> place : this.places) {
			if (ready.test(place.waiting())) {
				this.places.remove(place);
				return Optional.of(place.waiting());
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
		this.places.removeIf((place) -> {
			boolean over = place.untilMillis() <= nowMillis;
			if (over) {
				expired.add(place.waiting());
			}
			return over;
		});
		return expired;
	}

	public int size() {
		return this.places.size();
	}

	/**
	 * One that waits.
	 */
	private record Place<T>(int priority, long number, long untilMillis, T waiting) {
	}

}
