package org.almondmount.workflow;

/**
 * An amount of what a worker has, as fine as tasks ask for it.
 *
 * @param cpuMillis thousandths of a processor core
 * @param memoryMb memory in MiB
 * @param accelerators whole accelerators
 */
public record ResourceAmount(long cpuMillis, long memoryMb, long accelerators) {

	/** Nothing of anything. */
	public static final ResourceAmount NONE = new ResourceAmount(0, 0, 0);

	/** How many cores one accelerator counts for when amounts are compared. */
	private static final long CORES_PER_ACCELERATOR = 8;

	private static final double MILLIS_PER_CORE = 1_000.0;

	/**
	 * Whether this amount fits into another.
	 * @param available what is there
	 * @return true when no dimension exceeds the room
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
	 * What is left; a dimension may become negative where more is taken than is there.
	 * @param other what is taken away
	 * @return the rest
	 */
	public ResourceAmount minus(ResourceAmount other) {
		return new ResourceAmount(this.cpuMillis - other.cpuMillis, this.memoryMb - other.memoryMb,
				this.accelerators - other.accelerators);
	}

	/**
	 * The larger of two amounts in each dimension.
	 * @param other the other amount
	 * @return at least either of them
	 */
	public ResourceAmount max(ResourceAmount other) {
		return new ResourceAmount(Math.max(this.cpuMillis, other.cpuMillis), Math.max(this.memoryMb, other.memoryMb),
				Math.max(this.accelerators, other.accelerators));
	}

	public ResourceAmount withoutCpu() {
		return new ResourceAmount(0, this.memoryMb, this.accelerators);
	}

	/**
	 * How often another amount goes into this one.
	 * @param unit the other amount
	 * @return how often; without bound where it asks for nothing
	 */
	public long countFitting(ResourceAmount unit) {
		long count = Math.min(countFitting(this.cpuMillis, unit.cpuMillis), countFitting(this.memoryMb, unit.memoryMb));
		return Math.min(count, countFitting(this.accelerators, unit.accelerators));
	}

	public ResourceAmount times(long count) {
		return new ResourceAmount(this.cpuMillis * count, this.memoryMb * count, this.accelerators * count);
	}

	/**
	 * How much of a whole this amount is, over all dimensions that the whole has.
	 * @param whole a worker's capacity
	 * @return the sum of the shares, 0 for nothing
	 */
	public double totalShareOf(ResourceAmount whole) {
		return ratio(this.cpuMillis, whole.cpuMillis) + ratio(this.memoryMb, whole.memoryMb)
				+ ratio(this.accelerators, whole.accelerators);
	}

	/**
	 * How much of a whole this amount is, in the dimension of which it takes most.
	 * @param whole what there is
	 * @return the largest of the shares, 0 for nothing
	 */
	public double dominantShareOf(ResourceAmount whole) {
		double share = Math.max(ratio(this.cpuMillis, whole.cpuMillis), ratio(this.memoryMb, whole.memoryMb));
		return Math.max(share, ratio(this.accelerators, whole.accelerators));
	}

	/**
	 * The amount as cores, an accelerator counting for eight of them.
	 * @return cores
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
