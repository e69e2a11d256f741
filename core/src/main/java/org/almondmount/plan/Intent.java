package org.almondmount.plan;

import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;

/**
 * A change of the configuration requested by an operator.
 */
public sealed interface Intent {

	/**
	 * Applies the intent and returns the configuration of the next revision.
	 * @param current the configuration that it is planned against
	 * @return the changed configuration
	 */
	Configuration applyTo(Configuration current);

	/** Take an availability zone out of service, or back in. */
	record SetZone(ZoneId zone, ZoneState state) implements Intent {

		@Override
		public Configuration applyTo(Configuration current) {
			return current.withZone(this.zone, this.state).withRevision(current.revision() + 1);
		}

	}

	/** Create a customer or change its weight and guarantees. */
	record PutCustomer(Customer customer) implements Intent {

		@Override
		public Configuration applyTo(Configuration current) {
			return current.withCustomer(this.customer).withRevision(current.revision() + 1);
		}

	}

	/** Remove a customer; its running work is requeued or stopped as the plan says. */
	record RemoveCustomer(CustomerId customer) implements Intent {

		@Override
		public Configuration applyTo(Configuration current) {
			return current.withoutCustomer(this.customer).withRevision(current.revision() + 1);
		}

	}

	/** Change one setting of the configuration. */
	record SetOption(String name, String value) implements Intent {

		@Override
		public Configuration applyTo(Configuration current) {
			return current.withOption(this.name, this.value).withRevision(current.revision() + 1);
		}

	}

}
