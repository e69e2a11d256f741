package org.almondmount.model;

/**
 * The name of a worker, the machine that runs tasks.
 *
 * @param value the name
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

	public WorkerId {
		Identifiers.require("worker", value);
	}

	@Override
	public int compareTo(WorkerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
