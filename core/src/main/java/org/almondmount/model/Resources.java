package org.almondmount.model;

/**
 * An amount of what a worker has.
 *
 * @param accelerators whole accelerators
 * @param cores processor cores
 * @param memoryMb memory in MiB
 */
public record Resources(int accelerators, int cores, int memoryMb) {

	/** Nothing of anything. */
	public static final Resources NONE = new Resources(0, 0, 0);

	public Resources {
		requireNotNegative("accelerators", accelerators);
		requireNotNegative("cores", cores);
		requireNotNegative("memoryMb", memoryMb);
	}

	/**
	 * Whether this amount fits into another.
	 * @param capacity what is there
	 * @return true when no dimension exceeds the room
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
	 * What is left after taking another amount away.
	 * @param other the amount taken; it has to fit in this one
	 * @return the rest
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
