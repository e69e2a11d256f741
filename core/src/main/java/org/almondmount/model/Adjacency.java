package org.almondmount.model;

/**
 * Required proximity of the members of a gang, from closest to loosest.
 */
public enum Adjacency {

	/** All members on one worker. */
	WORKER,

	/** All members on workers of one rack. */
	RACK,

	/** All members in one availability zone. */
	ZONE,

	/** Members anywhere in the cell. */
	ANY;

	/**
	 * Whether two workers are close enough to run members of the same gang.
	 * @param first the first worker
	 * @param second the second worker
	 * @return true if the pair satisfies this adjacency
	 */
	public boolean isSatisfiedBy(WorkerInfo first, WorkerInfo second) {
		return switch (this) {
			case WORKER -> first.id().equals(second.id());
			case RACK -> first.zone().equals(second.zone()) && first.rack().equals(second.rack());
			case ZONE -> first.zone().equals(second.zone());
			case ANY -> true;
		};
	}

}
