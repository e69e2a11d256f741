package org.almondmount.model;

/**
 * The name of a customer, which owns guarantees and submits work.
 *
 * @param value the name
 */
public record CustomerId(String value) implements Comparable<CustomerId> {

	public CustomerId {
		Identifiers.require("customer", value);
	}

	@Override
	public int compareTo(CustomerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
