package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.model.ZoneId;

/**
 * An availability zone of the fleet. Mutable, not thread-safe.
 */
final class ZoneNode {

	final ZoneId id;

	/** Its place among all zones. */
	final int ordinal;

	final List<RackNode> racks = new ArrayList<>();

	boolean accepting = true;

	/** Counts the changes of state, so that a timer of an earlier change is stale. */
	int stateChangeCount;

	ZoneNode(ZoneId id, int ordinal) {
		this.ordinal = ordinal;
		this.id = id;
	}

}
