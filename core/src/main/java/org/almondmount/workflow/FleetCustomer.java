package org.almondmount.workflow;

import java.util.Set;

/**
 * A customer as declared by operators. Immutable.
 *
 * @param name the name of the customer
 * @param keys the API keys that its callers may present
 * @param guaranteedAccelerators the accelerators that its jobs of priority 0 are
 * guaranteed at any time
 */
public record FleetCustomer(String name, Set<String> keys, long guaranteedAccelerators) {

	public FleetCustomer {
		keys = Set.copyOf(keys);
	}

}
