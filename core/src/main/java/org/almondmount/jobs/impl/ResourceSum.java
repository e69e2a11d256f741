package org.almondmount.jobs.impl;

import org.almondmount.model.Resources;

/**
 * A running sum of resources. Mutable, not thread-safe; may be negative while a worker is
 * promised to a gang whose room is still being cleared.
 */
final class ResourceSum {

	long accelerators;

	long cores;

	long memoryMb;

	void add(Resources resources, int factor) {
		this.accelerators += (long) resources.accelerators() * factor;
		this.cores += (long) resources.cores() * factor;
		this.memoryMb += (long) resources.memoryMb() * factor;
	}

	void subtract(ResourceSum other) {
		this.accelerators -= other.accelerators;
		this.cores -= other.cores;
		this.memoryMb -= other.memoryMb;
	}

	/**
	 * Whether nothing is missing in any dimension.
	 * @return true if none is negative
	 */
	boolean isNonNegative() {
		return this.accelerators >= 0 && this.cores >= 0 && this.memoryMb >= 0;
	}

}
