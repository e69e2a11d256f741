package org.almondmount.model;

/**
 * The name of an entry process; it changes with each restart.
 *
 * @param value the name
 */
public record EntryId(String value) implements Comparable<EntryId> {

	public EntryId {
		Identifiers.require("entry", value);
	}

	@Override
	public int compareTo(EntryId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
