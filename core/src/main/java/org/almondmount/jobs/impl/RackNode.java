package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.model.RackId;

/**
 * A rack of the fleet. Mutable, not thread-safe.
 */
final class RackNode {

	final RackId id;

	final ZoneNode zone;

	/** Position among all racks; breaks ties. */
	final int ordinal;

	final List<WorkerNode> workers = new ArrayList<>();

	RackNode(RackId id, ZoneNode zone, int ordinal) {
		this.id = id;
		this.zone = zone;
		this.ordinal = ordinal;
	}

}
