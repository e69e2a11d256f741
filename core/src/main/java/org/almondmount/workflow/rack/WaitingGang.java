package org.almondmount.workflow.rack;

import java.util.OptionalLong;

/**
 * A gang that does not fit in one rack now, but fits across racks. Immutable.
 *
 * @param runMillis the expected time of a run in one rack
 * @param slowdown the factor by which a run across racks is slower
 * @param endless whether its tasks run until its job is cancelled, so that no run ends
 * sooner in one rack
 * @param rackDelayMillis the time until a rack is expected to hold it, empty if none is
 * expected to
 * @param waitedMillis how long it has waited although it would have fit across racks
 * @param fleetIdle whether less than half of the fleet is in use and the gang would fit
 * twice
 */
public record WaitingGang(long runMillis, double slowdown, boolean endless, OptionalLong rackDelayMillis,
		long waitedMillis, boolean fleetIdle) {

	/**
	 * Returns how much sooner a run ends in one rack than across racks.
	 * @return milliseconds
	 */
	public long gainMillis() {
		return this.endless ? 0 : gainMillis(this.runMillis, this.slowdown);
	}

	/**
	 * Returns how much sooner a run ends in one rack than across racks.
	 * @param runMillis the expected time of a run in one rack
	 * @param slowdown the factor by which a run across racks is slower
	 * @return milliseconds
	 */
	public static long gainMillis(long runMillis, double slowdown) {
		return (long) (runMillis * (slowdown - 1));
	}

}
