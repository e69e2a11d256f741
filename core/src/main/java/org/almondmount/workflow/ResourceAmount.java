package org.almondmount.workflow;

/**
 * An amount of a worker's resources, in the units in which tasks request them.
 *
 * @param cpuMillis thousandths of a CPU core
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
public record ResourceAmount(long cpuMillis, long memoryMb, long accelerators) {

	/** No resources. */
	public static final ResourceAmount NONE = new ResourceAmount(0, 0, 0);

	/** The number of cores that one accelerator counts for when amounts are compared. */
	private static final long CORES_PER_ACCELERATOR = 8;

	private static final double MILLIS_PER_CORE = 1_000.0;

	/**
	 * Returns whether this amount fits into the available resources.
	 * @param available the available resources
	 * @return whether no dimension exceeds the available amount
	 */
	public boolean fitsIn(ResourceAmount available) {
		return this.cpuMillis <= available.cpuMillis && this.memoryMb <= available.memoryMb
				&& this.accelerators <= available.accelerators;
	}

	public ResourceAmount plus(ResourceAmount other) {
		return new ResourceAmount(this.cpuMillis + other.cpuMillis, this.memoryMb + other.memoryMb,
				this.accelerators + other.accelerators);
	}

	/**
	 * Subtracts an amount. A dimension becomes negative if more is subtracted than there
	 * is.
	 * @param other the amount to subtract
	 * @return the difference
	 */
	public ResourceAmount minus(ResourceAmount other) {
		return new ResourceAmount(this.cpuMillis - other.cpuMillis, this.memoryMb - other.memoryMb,
				this.accelerators - other.accelerators);
	}

	/**
	 * Returns the maximum of two amounts in each dimension.
	 * @param other the other amount
	 * @return the maximum
	 */
	public ResourceAmount max(ResourceAmount other) {
		return new ResourceAmount(Math.max(this.cpuMillis, other.cpuMillis), Math.max(this.memoryMb, other.memoryMb),
				Math.max(this.accelerators, other.accelerators));
	}

	public ResourceAmount withoutCpu() {
		return new ResourceAmount(0, this.memoryMb, this.accelerators);
	}

	/**
	 * Returns how many times an amount fits into this one.
	 * @param unit the amount to fit
	 * @return the count; a dimension that the unit does not request imposes no limit
	 */
	public long countFitting(ResourceAmount unit) {
		long count = Math.min(countFitting(this.cpuMillis, unit.cpuMillis), countFitting(this.memoryMb, unit.memoryMb));
		return Math.min(count, countFitting(this.accelerators, unit.accelerators));
	}

	public ResourceAmount times(long count) {
		return new ResourceAmount(this.cpuMillis * count, this.memoryMb * count, this.accelerators * count);
	}

	/**
	 * Returns the sum of this amount's shares of a capacity over all dimensions that the
	 * capacity has.
	 * @param whole the capacity of a worker
	 * @return the sum of the shares, 0 for an empty amount
	 */
	public double totalShareOf(ResourceAmount whole) {
		return ratio(this.cpuMillis, whole.cpuMillis) + ratio(this.memoryMb, whole.memoryMb)
				+ ratio(this.accelerators, whole.accelerators);
	}

	/**
	 * Returns this amount's share of a capacity in the dimension in which it is largest.
	 * @param whole the total capacity
	 * @return the dominant share, 0 for an empty amount
	 */
	public double dominantShareOf(ResourceAmount whole) {
		double share = Math.max(ratio(this.cpuMillis, whole.cpuMillis), ratio(this.memoryMb, whole.memoryMb));
		return Math.max(share, ratio(this.accelerators, whole.accelerators));
	}

	/**
	 * Converts this amount to cores; an accelerator counts for eight.
	 * @return the number of cores, without memory
	 */
	public double coreEquivalents() {
		return this.cpuMillis / MILLIS_PER_CORE + this.accelerators * CORES_PER_ACCELERATOR;
	}

	private static double ratio(long part, long whole) {
		return (whole > 0) ? (double) part / whole : 0;
	}

	private static long countFitting(long whole, long part) {
		return (part > 0) ? Math.max(0, whole) / part : Integer.MAX_VALUE;
	}

}
