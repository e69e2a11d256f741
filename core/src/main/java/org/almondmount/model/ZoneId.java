package org.almondmount.model;

/**
 * The name of an availability zone, as written by operators.
 *
 * @param value the name, such as {@code lulea-a}
 */
public record ZoneId(String value) implements Comparable<ZoneId> {

	public ZoneId {
		Identifiers.require("availability zone", value);
	}

	@Override
	public int compareTo(ZoneId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
