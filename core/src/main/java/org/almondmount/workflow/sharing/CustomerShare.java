package org.almondmount.workflow.sharing;

/**
 * What a customer uses of the fleet, and what it is entitled to. Immutable.
 *
 * @param use the share of the fleet that its runs hold, in the resource of which they
 * hold most; it may exceed 1 while workers of earlier runs have not reported
 * @param entitlement the share of the fleet that it may hold while others wait; 0 if it
 * has no guarantee
 */
public record CustomerShare(double use, double entitlement) {

	/** The share of a customer when shares do not count. */
	public static final CustomerShare NONE = new CustomerShare(0, 0);

	/** The level of customers without an entitlement, behind all others. */
	static final int MAX_LEVEL = 6;

	/** Part of the entitlement from which the level grows. */
	private static final double FIRST_LEVEL_BOUND = 0.5;

	/** Factor between the bounds of two levels. */
	private static final double LEVEL_FACTOR = 2;

	private static final double PERCENT = 100;

	/**
	 * Returns how much of the entitlement is used, in steps that double. Customers of one
	 * level are equals, so that single tasks do not change who goes first.
	 * @return the level, 0 for the least use
	 */
	public int level() {
		if (this.entitlement <= 0) {
			return MAX_LEVEL;
		}
		int level = 0;
		double bound = FIRST_LEVEL_BOUND * this.entitlement;
		while (level < MAX_LEVEL - 1 && this.use >= bound) {
			level++;
			bound *= LEVEL_FACTOR;
		}
		return level;
	}

	public long usePercent() {
		return Math.round(this.use * PERCENT);
	}

	public long entitlementPercent() {
		return Math.round(this.entitlement * PERCENT);
	}

}
