package org.almondmount.model;

/**
 * The name of a rack, unique within its availability zone.
 *
 * @param value the name
 */
public record RackId(String value) implements Comparable<RackId> {

	public RackId {
		Identifiers.require("rack", value);
	}

	@Override
	public int compareTo(RackId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
