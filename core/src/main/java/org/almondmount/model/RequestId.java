package org.almondmount.model;

/**
 * The identifier of one request, unique across entries and their restarts.
 *
 * @param value the identifier
 */
public record RequestId(String value) implements Comparable<RequestId> {

	public RequestId {
		Identifiers.require("request", value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
