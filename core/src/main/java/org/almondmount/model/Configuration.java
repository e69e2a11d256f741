package org.almondmount.model;

import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration declared by operators, at one revision. Immutable and thread-safe.
 *
 * @param revision incremented by one with each accepted intent; 0 is the empty
 * configuration
 * @param customers customers by name
 * @param zones declared states; the state of a zone without an entry is
 * {@link ZoneState#IN}
 * @param options settings that operators can change at run time, by name
 */
public record Configuration(long revision, Map<CustomerId, Customer> customers, Map<ZoneId, ZoneState> zones,
		Map<String, String> options) {

	/** The configuration before the first intent. */
	public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), Map.of());

	public Configuration {
		customers = Map.copyOf(customers);
		zones = Map.copyOf(zones);
		options = Map.copyOf(options);
	}

	/**
	 * The declared state of a zone.
	 * @param zone the availability zone
	 * @return its state
	 */
	public ZoneState zone(ZoneId zone) {
		return this.zones.getOrDefault(zone, ZoneState.IN);
	}

	public Configuration withRevision(long newRevision) {
		return new Configuration(newRevision, this.customers, this.zones, this.options);
	}

	public Configuration withCustomer(Customer customer) {
		Map<CustomerId, Customer> changed = new TreeMap<>(this.customers);
		changed.put(customer.id(), customer);
		return new Configuration(this.revision, changed, this.zones, this.options);
	}

	public Configuration withoutCustomer(CustomerId customer) {
		Map<CustomerId, Customer> changed = new TreeMap<>(this.customers);
		changed.remove(customer);
		return new Configuration(this.revision, changed, this.zones, this.options);
	}

	public Configuration withZone(ZoneId zone, ZoneState state) {
		Map<ZoneId, ZoneState> changed = new TreeMap<>(this.zones);
		changed.put(zone, state);
		return new Configuration(this.revision, this.customers, changed, this.options);
	}

	public Configuration withOption(String name, String value) {
		Map<String, String> changed = new TreeMap<>(this.options);
		changed.put(name, value);
		return new Configuration(this.revision, this.customers, this.zones, changed);
	}

}
