package org.almondmount.daemon.entry.api;

import java.util.Optional;

import org.almondmount.model.CustomerId;

/**
 * Whose token a call carries. Immutable.
 *
 * @param customer the customer, or empty for an operator
 * @param operator the operator's name, empty for a customer
 */
public record Caller(Optional<CustomerId> customer, String operator) {

	/**
	 * A customer.
	 * @param customer its name
	 * @return the caller
	 */
	public static Caller of(CustomerId customer) {
		return new Caller(Optional.of(customer), "");
	}

	/**
	 * An operator.
	 * @param name the operator's name
	 * @return the caller
	 */
	public static Caller operator(String name) {
		return new Caller(Optional.empty(), name);
	}

	public boolean isOperator() {
		return this.customer.isEmpty();
	}

	/**
	 * Whether this caller may see and cancel a customer's work.
	 * @param owner the customer
	 * @return true for operators and for the customer itself
	 */
	public boolean maySee(CustomerId owner) {
		return isOperator() || this.customer.get().equals(owner);
	}

}
