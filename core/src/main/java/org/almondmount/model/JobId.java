package org.almondmount.model;

/**
 * The identifier of a job, assigned by the entry that accepted it.
 *
 * @param value the identifier
 */
public record JobId(String value) implements Comparable<JobId> {

	public JobId {
		Identifiers.require("job", value);
	}

	@Override
	public int compareTo(JobId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
