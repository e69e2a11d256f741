package org.almondmount.model;

import java.util.List;

/**
 * A customer with its weight and its guarantees.
 *
 * @param id its name
 * @param weight its share relative to other customers, above zero
 * @param guarantees the shapes that it can always reclaim
 */
public record Customer(CustomerId id, double weight, List<GuaranteedShape> guarantees) {

	public Customer {
		if (!(weight > 0)) {
			throw new InvalidValueException("weight", "is " + weight + "; give a number above zero");
		}
		guarantees = List.copyOf(guarantees);
	}

}
