package org.almondmount.jobs.impl;

import org.almondmount.model.Resources;

/**
 * A mutable sum of resources. A dimension may be negative, for example while a worker is
 * allocated to a gang for which other gangs are still being evicted. Not thread-safe.
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
	 * Whether the sum covers all that was subtracted from it.
	 * @return true if no dimension is negative
	 */
	boolean isNonNegative() {
		return this.accelerators >= 0 && this.cores >= 0 && this.memoryMb >= 0;
	}

}
