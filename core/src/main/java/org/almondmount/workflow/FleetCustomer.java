package org.almondmount.workflow;

import java.util.Set;

/**
 * A customer as operators declare it. Immutable.
 *
 * @param name its name
 * @param keys the keys that its callers may present
 * @param guaranteedAccelerators accelerators that belong to it at any time, for its jobs
 * of priority 0
 */
public record FleetCustomer(String name, Set<String> keys, long guaranteedAccelerators) {

	public FleetCustomer {
		keys = Set.copyOf(keys);
	}

}
