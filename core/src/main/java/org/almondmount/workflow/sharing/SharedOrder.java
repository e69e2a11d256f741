package org.almondmount.workflow.sharing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * The order in which waiting units are placed when customers share the fleet. Units come
 * in groups of equal rank; within a group, the next unit is the first one of the customer
 * with the lowest level. Levels are looked up again after each unit, since its placement
 * may have raised the level of its customer.
 *
 * @param <U> the type of the units
 */
public final class SharedOrder<U> implements Iterator<U> {

	private final List<U> units;

	private final Comparator<U> groups;

	private final Function<U, Optional<String>> customerOf;

	private final ToIntFunction<String> levelOf;

	private final PriorityQueue<Line> lines = new PriorityQueue<>(Line.ORDER);

	private int groupEnd;

	private Optional<Line> current = Optional.empty();

	/** The last of the units returned from this group, in the order without shares. */
	private int lastIndex;

	private Optional<String> lastCustomer = Optional.empty();

	private Optional<String> overtaker = Optional.empty();

	/**
	 * Creates an order.
	 * @param units the units in the order without shares
	 * @param groups the order of the groups, with which the units agree
	 * @param customerOf the customer of a unit, or empty for a unit for which shares do
	 * not count
	 * @param levelOf the current level of a customer
	 */
	public SharedOrder(List<U> units, Comparator<U> groups, Function<U, Optional<String>> customerOf,
			ToIntFunction<String> levelOf) {
		this.units = new ArrayList<>(units);
		this.groups = groups;
		this.customerOf = customerOf;
		this.levelOf = levelOf;
	}

	@Override
	public boolean hasNext() {
		return !this.lines.isEmpty() || this.current.isPresent() || this.groupEnd < this.units.size();
	}

	@Override
	public U next() {
		this.current.ifPresent(this::enqueue);
		if (this.lines.isEmpty()) {
			nextGroup();
		}
		Line line = this.lines.remove();
		int index = line.indexes.remove();
		this.current = line.indexes.isEmpty() ? Optional.empty() : Optional.of(line);
		this.overtaker = (index < this.lastIndex) ? this.lastCustomer : Optional.empty();
		if (index > this.lastIndex) {
			this.lastIndex = index;
			this.lastCustomer = line.customer;
		}
		return this.units.get(index);
	}

	/**
	 * Returns the customer of a unit that went before the last returned one because of
	 * its share.
	 * @return the customer, or empty if the order without shares is the same so far
	 */
	public Optional<String> overtaker() {
		return this.overtaker;
	}

	private void nextGroup() {
		if (this.groupEnd == this.units.size()) {
			throw new NoSuchElementException();
		}
		Map<Optional<String>, Line> byCustomer = new HashMap<>();
		int index = this.groupEnd;
		U first = this.units.get(index);
		while (index < this.units.size() && this.groups.compare(first, this.units.get(index)) == 0) {
			byCustomer.computeIfAbsent(this.customerOf.apply(this.units.get(index)), Line::new).indexes.add(index);
			index++;
		}
		this.groupEnd = index;
		this.lastIndex = -1;
		byCustomer.values().forEach(this::enqueue);
	}

	private void enqueue(Line line) {
		line.level = line.customer.map(this.levelOf::applyAsInt).orElse(0);
		this.lines.add(line);
	}

	/** The waiting units of one customer. */
	private static final class Line {

		private static final Comparator<Line> ORDER = Comparator.comparingInt((Line line) -> line.level)
			.thenComparingInt((line) -> line.indexes.element());

		private final Optional<String> customer;

		private final Deque<Integer> indexes = new ArrayDeque<>();

		private int level;

		private Line(Optional<String> customer) {
			this.customer = customer;
		}

	}

}
