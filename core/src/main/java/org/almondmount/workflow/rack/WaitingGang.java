package org.almondmount.workflow.rack;

import java.util.OptionalLong;

/**
 * A gang that does not fit in one rack now, but fits across racks. Immutable.
 *
 * @param gainMillis how much sooner a run ends in one rack than across racks; 0 if its
 * tasks run until its job is cancelled
 * @param rackDelayMillis the time until a rack is expected to hold it, empty if none is
 * expected to
 * @param waitedMillis how long it has waited although it would have fit across racks
 * @param fleetIdle whether less than half of the fleet is in use and the gang would fit
 * twice
 */
public record WaitingGang(long gainMillis, OptionalLong rackDelayMillis, long waitedMillis, boolean fleetIdle) {

}
