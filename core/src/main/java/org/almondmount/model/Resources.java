package org.almondmount.model;

/**
 * An amount of resources of a worker.
 *
 * @param accelerators whole accelerators
 * @param cores processor cores
 * @param memoryMb memory in MiB
 */
public record Resources(int accelerators, int cores, int memoryMb) {

	/** The empty amount. */
	public static final Resources NONE = new Resources(0, 0, 0);

	public Resources {
		requireNotNegative("accelerators", accelerators);
		requireNotNegative("cores", cores);
		requireNotNegative("memoryMb", memoryMb);
	}

	/**
	 * Whether this amount fits into a capacity.
	 * @param capacity the available capacity
	 * @return true if no dimension exceeds the capacity
	 */
	public boolean fitsIn(Resources capacity) {
		return this.accelerators <= capacity.accelerators && this.cores <= capacity.cores
				&& this.memoryMb <= capacity.memoryMb;
	}

	public Resources plus(Resources other) {
		return new Resources(this.accelerators + other.accelerators, this.cores + other.cores,
				this.memoryMb + other.memoryMb);
	}

	/**
	 * Subtracts another amount.
	 * @param other the amount to subtract; it has to fit into this amount
	 * @return the remaining amount
	 */
	public Resources minus(Resources other) {
		return new Resources(this.accelerators - other.accelerators, this.cores - other.cores,
				this.memoryMb - other.memoryMb);
	}

	public Resources times(int count) {
		return new Resources(this.accelerators * count, this.cores * count, this.memoryMb * count);
	}

	private static void requireNotNegative(String field, int value) {
		if (value < 0) {
			throw new InvalidValueException(field, "is " + value + "; give zero or more");
		}
	}

}
