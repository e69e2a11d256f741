package org.almondmount.model;

/**
 * The shape of a gang: identical members that run together or not at all.
 *
 * @param members number of tasks, 1 to {@value #MAX_MEMBERS}
 * @param perMember the resources that each task needs on its worker
 * @param adjacency the required proximity of the members
 */
public record GangShape(int members, Resources perMember, Adjacency adjacency) {

	/** The maximum number of members of a gang. */
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

	// A total that overflows would be treated as a small or negative amount wherever it
	// is used.
	private static void requireTotalInRange(String field, int amount, int members) {
		if ((long) amount * members > Integer.MAX_VALUE) {
			throw new InvalidValueException(field,
					"is " + amount + " for each of " + members + " members, more than any fleet has; ask for less");
		}
	}

	/**
	 * The total resources of all members.
	 * @return the total
	 */
	public Resources total() {
		return this.perMember.times(this.members);
	}

}
