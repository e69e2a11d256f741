package org.almondmount.model;

/**
 * A gang as it is placed: equal members that run together or not at all.
 *
 * @param members number of tasks, 1 to {@value #MAX_MEMBERS}
 * @param perMember what each task needs on its worker
 * @param adjacency how close the members have to be
 */
public record GangShape(int members, Resources perMember, Adjacency adjacency) {

	/** The largest gang that is accepted. */
	public static final int MAX_MEMBERS = 512;

	public GangShape {
		if (members < 1 || members > MAX_MEMBERS) {
			throw new InvalidValueException("members",
					"is " + members + "; give 1 to " + MAX_MEMBERS + ", or split the job");
		}
		requireTotalInRange("accelerators", perMember.accelerators(), members);
		requireTotalInRange("cores", perMember.cores(), members);
		requireTotalInRange("memoryMb", perMember.memoryMb(), members);
	}

	// A sum that overflows would pass for a small or a negative amount wherever it is
	// used.
	private static void requireTotalInRange(String field, int amount, int members) {
		if ((long) amount * members > Integer.MAX_VALUE) {
			throw new InvalidValueException(field,
					"is " + amount + " for each of " + members + " members, more than any fleet has; ask for less");
		}
	}

	/**
	 * What all members need together.
	 * @return the sum
	 */
	public Resources total() {
		return this.perMember.times(this.members);
	}

}
