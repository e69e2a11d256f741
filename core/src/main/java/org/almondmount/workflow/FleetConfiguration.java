package org.almondmount.workflow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The complete configuration of queues, pools and customers, as declared by operators.
 * Immutable.
 */
public final class FleetConfiguration {

	/** The configuration before operators have declared anything. */
	public static final FleetConfiguration NONE = new FleetConfiguration(0, List.of(), List.of(), List.of());

	private final long revision;

	private final List<JobQueue> queues;

	private final List<String> pools;

	private final List<FleetCustomer> customers;

	private final Optional<RequestLimits> requestLimits;

	private final Map<String, JobQueue> queuesByName = new HashMap<>();

	private final Map<String, FleetCustomer> customersByKey = new HashMap<>();

	private final Map<String, FleetCustomer> customersByName = new HashMap<>();

	public FleetConfiguration(long revision, List<JobQueue> queues, List<String> pools, List<FleetCustomer> customers) {
		this(revision, queues, pools, customers, Optional.empty());
	}

	public FleetConfiguration(long revision, List<JobQueue> queues, List<String> pools, List<FleetCustomer> customers,
			Optional<RequestLimits> requestLimits) {
		this.revision = revision;
		this.requestLimits = requestLimits;
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
	 * Returns the revision, which grows with each change. A configuration with a lower
	 * revision never replaces one with a higher revision.
	 * @return the revision, 0 if nothing has been declared yet
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the sizes of requests that callers may send.
	 * @return the declared limits, empty if none are declared
	 */
	public Optional<RequestLimits> requestLimits() {
		return this.requestLimits;
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

	/**
	 * Returns how this configuration declares a queue.
	 * @param name the name of the queue
	 * @return the declaration, or empty if the queue is not declared
	 */
	public Optional<QueueDeclaration> declaration(String name) {
		return queue(name).map((queue) -> new QueueDeclaration(this.revision, queue));
	}

	/**
	 * Returns the priority of a job, which keeps that of its queue if this configuration
	 * does not declare the queue.
	 * @param job the job
	 * @return 0 for the most urgent, {@link Integer#MAX_VALUE} if no declaration of its
	 * queue is known
	 */
	public int priority(Workflow job) {
		return queue(job.queue()).or(() -> job.declaration().map(QueueDeclaration::queue))
			.map(JobQueue::priority)
			.orElse(Integer.MAX_VALUE);
	}

	public Optional<FleetCustomer> customer(String name) {
		return Optional.ofNullable(this.customersByName.get(name));
	}

	/**
	 * Returns the customer that a key belongs to.
	 * @param key the key that a caller presented
	 * @return the customer, or empty for an unknown key
	 */
	public Optional<FleetCustomer> customerByKey(String key) {
		return Optional.ofNullable(this.customersByKey.get(key));
	}

	/**
	 * Returns the queue that a call is routed to: the one with the call's host and the
	 * longest matching path prefix.
	 * @param host the host name of the call, without a port
	 * @param path the path of the call
	 * @return the queue, or empty if none matches
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
