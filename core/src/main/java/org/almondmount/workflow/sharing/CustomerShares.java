package org.almondmount.workflow.sharing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.FleetCustomer;
import org.almondmount.workflow.ResourceAmount;

/**
 * The shares of all customers at one moment. Mutable: runs are added as they are found or
 * started.
 * <p>
 * A customer is entitled to the part of the fleet that its guarantee has in the sum of
 * all guarantees. One without a guarantee is entitled to nothing, but like all others it
 * may use what is idle.
 */
public final class CustomerShares {

	private final ResourceAmount fleet;

	private final Map<String, Double> entitlements = new HashMap<>();

	private final Map<String, ResourceAmount> used = new HashMap<>();

	/**
	 * Creates the shares of customers that use nothing yet.
	 * @param fleet the total capacity of all workers
	 * @param customers the declared customers; any other has no entitlement
	 */
	public CustomerShares(ResourceAmount fleet, List<FleetCustomer> customers) {
		this.fleet = fleet;
		double guaranteed = customers.stream().mapToLong(FleetCustomer::guaranteedAccelerators).sum();
		for (FleetCustomer customer : customers) {
			if (customer.guaranteedAccelerators() > 0) {
				this.entitlements.put(customer.name(), customer.guaranteedAccelerators() / guaranteed);
			}
		}
	}

	/**
	 * Adds to what a customer uses.
	 * @param customer the name of the customer
	 * @param amount the amount that runs of it hold
	 */
	public void add(String customer, ResourceAmount amount) {
		this.used.merge(customer, amount, ResourceAmount::plus);
	}

	/**
	 * Returns the share of a customer.
	 * @param customer the name of the customer
	 * @return the share after all that has been added so far
	 */
	public CustomerShare of(String customer) {
		double use = this.used.getOrDefault(customer, ResourceAmount.NONE).dominantShareOf(this.fleet);
		return new CustomerShare(use, this.entitlements.getOrDefault(customer, 0.0));
	}

}
