package org.almondmount.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What operators declare about queues and customers, whole. Immutable.
 */
public final class FleetConfiguration {

	/** Nothing declared yet. */
	public static final FleetConfiguration NONE = new FleetConfiguration(0, List.of(), List.of(), List.of());

	private final long revision;

	private final List<JobQueue> queues;

	private final List<String> pools;

	private final List<FleetCustomer> customers;

	private final Map<String, JobQueue> queuesByName = new HashMap<>();

	private final Map<String, FleetCustomer> customersByKey = new HashMap<>();

	private final Map<String, FleetCustomer> customersByName = new HashMap<>();

	public FleetConfiguration(long revision, List<JobQueue> queues, List<String> pools, List<FleetCustomer> customers) {
		this.revision = revision;
		this.queues = List.copyOf(queues);
		this.pools = List.copyOf(pools);
		this.customers = List.copyOf(customers);
		for (JobQueue queue : queues) {
			this.queuesByName.put(queue.name(), queue);
		}
		for (FleetCustomer customer : customers) {
			this.customersByName.put(customer.name(), customer);
			customer.keys().forEach((key) -> this.customersByKey.put(key, customer));
		}
	}

	/**
	 * Grows with each change; a lower one is never taken after a higher one.
	 * @return the revision, 0 where nothing is declared yet
	 */
	public long revision() {
		return this.revision;
	}

	public List<JobQueue> queues() {
		return this.queues;
	}

	public List<String> pools() {
		return this.pools;
	}

	public List<FleetCustomer> customers() {
		return this.customers;
	}

	public Optional<JobQueue> queue(String name) {
		return Optional.ofNullable(this.queuesByName.get(name));
	}

	public Optional<FleetCustomer> customer(String name) {
		return Optional.ofNullable(this.customersByName.get(name));
	}

	/**
	 * Whose key that is.
	 * @param key what a caller presented
	 * @return the customer, or empty for a key that is not known
	 */
	public Optional<FleetCustomer> customerByKey(String key) {
		return Optional.ofNullable(this.customersByKey.get(key));
	}

	/**
	 * The queue that a call goes to: the longest prefix of its path decides.
	 * @param host the host name of the call, without a port
	 * @param path its path
	 * @return the queue, or empty where there is none
	 */
	public Optional<JobQueue> route(String host, String path) {
		JobQueue best = null;
		for (JobQueue queue : this.queues) {
			boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix());
			if (matches && (best == null || queue.pathPrefix().length() > best.pathPrefix().length())) {
				best = queue;
			}
		}
		return Optional.ofNullable(best);
	}

}
