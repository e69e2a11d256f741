package org.almondmount.model;

/**
 * The name of a target, the service instance that answers requests. The target of a VM
 * has the same name as the VM's worker.
 *
 * @param value the name
 */
public record TargetId(String value) implements Comparable<TargetId> {

	public TargetId {
		Identifiers.require("target", value);
	}

	@Override
	public int compareTo(TargetId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
