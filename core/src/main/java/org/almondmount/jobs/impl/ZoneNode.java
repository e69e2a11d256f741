package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.model.ZoneId;

/**
 * An availability zone of the fleet. Mutable, not thread-safe.
 */
final class ZoneNode {

	final ZoneId id;

	/** Position among all zones. */
	final int ordinal;

	final List<RackNode> racks = new ArrayList<>();

	boolean accepting = true;

	/** Number of state changes, by which the timer of an earlier change is recognized. */
	int stateChangeCount;

	ZoneNode(ZoneId id, int ordinal) {
		this.ordinal = ordinal;
		this.id = id;
	}

}
