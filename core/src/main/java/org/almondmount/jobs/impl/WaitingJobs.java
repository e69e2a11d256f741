package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;

/**
 * All waiting jobs by customer and shape. Adding or removing a job takes time logarithmic
 * in the number of jobs of its shape. Not thread-safe.
 * <p>
 * A shape whose first job did not fit is blocked, and is not tried again until capacity
 * that could hold it becomes available. The cost of an event therefore depends on the
 * number of waiting shapes, not of waiting jobs.
 */
final class WaitingJobs {

	private final Map<CustomerId, CustomerQueue> customers = new TreeMap<>();

	/** Shapes that are not blocked. */
	private final Set<ShapeQueue> open = new LinkedHashSet<>();

	private final Set<ShapeQueue> blocked = new LinkedHashSet<>();

	private int waitingCount;

	CustomerQueue customer(CustomerId id) {
		return this.customers.computeIfAbsent(id, CustomerQueue::new);
	}

	Collection<CustomerQueue> customers() {
		return this.customers.values();
	}

	Set<ShapeQueue> open() {
		return this.open;
	}

	Set<ShapeQueue> blocked() {
		return this.blocked;
	}

	int waitingCount() {
		return this.waitingCount;
	}

	void configure(Configuration configuration) {
		for (CustomerQueue queue : this.customers.values()) {
			Customer customer = configuration.customers().get(queue.id);
			queue.weight = (customer != null) ? customer.weight() : 1;
		}
		for (Customer customer : configuration.customers().values()) {
			customer(customer.id()).weight = customer.weight();
		}
		openAll();
	}

	void add(JobState job) {
		CustomerQueue customer = customer(job.spec.customer());
		ShapeQueue queue = customer.shapes.computeIfAbsent(ShapeQueue.Key.of(job),
				(key) -> new ShapeQueue(customer, key));
		boolean first = queue.jobs.isEmpty() || job.submissionOrder < queue.jobs.firstKey();
		queue.jobs.put(job.submissionOrder, job);
		job.queue = queue;
		customer.waitingCount++;
		this.waitingCount++;
		if (first) {
			open(queue);
		}
	}

	void remove(JobState job) {
		ShapeQueue queue = job.queue;
		if (queue == null) {
			return;
		}
		job.queue = null;
		queue.jobs.remove(job.submissionOrder);
		queue.customer.waitingCount--;
		this.waitingCount--;
		if (queue.jobs.isEmpty()) {
			queue.customer.shapes.remove(queue.key);
			this.open.remove(queue);
			this.blocked.remove(queue);
		}
	}

	void open(ShapeQueue queue) {
		this.blocked.remove(queue);
		this.open.add(queue);
	}

	void block(ShapeQueue queue) {
		this.open.remove(queue);
		this.blocked.add(queue);
	}

	void openAll() {
		for (ShapeQueue queue : new ArrayList<>(this.blocked)) {
			open(queue);
		}
	}

	/**
	 * Opens a customer's shapes after its guarantee reservations have changed.
	 * @param id the customer
	 */
	void open(CustomerId id) {
		customer(id).changeCount++;
		for (ShapeQueue queue : customer(id).shapes.values()) {
			open(queue);
		}
	}

	/**
	 * Opens the shapes that may fit on workers whose allocations changed.
	 * @param fleet the workers
	 * @param grown the workers whose allocations changed
	 */
	void openFittingShapes(Fleet fleet, List<WorkerNode> grown) {
		for (ShapeQueue queue : new ArrayList<>(this.blocked)) {
			for (WorkerNode worker : grown) {
				if (queue.mayFitNear(fleet, worker)) {
					open(queue);
					break;
				}
			}
		}
	}

}
