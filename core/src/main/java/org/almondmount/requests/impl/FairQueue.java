package org.almondmount.requests.impl;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

import org.almondmount.model.CustomerId;

/**
 * Weighted fair queue: the customers' queues are served in proportion to their weights,
 * by the slot time that they use. Not thread-safe.
 * <p>
 * Fairness by request count would let a customer with slow requests use most of the
 * slots. Each customer's virtual time therefore advances by slot time divided by weight:
 * by the estimated slot time when a request is sent, corrected to the actual time when
 * the attempt ends.
 */
final class FairQueue {

	private static final double INITIAL_ESTIMATE_MILLIS = 50;

	private static final double SMOOTHING_FACTOR = 0.2;

	private final Map<CustomerId, CustomerQueue> customerQueues = new TreeMap<>();

	private final ToDoubleFunction<CustomerId> weights;

	private double virtualTime;

	private int size;

	FairQueue(ToDoubleFunction<CustomerId> weights) {
		this.weights = weights;
	}

	int size() {
		return this.size;
	}

	int size(CustomerId customer) {
		CustomerQueue queue = this.customerQueues.get(customer);
		return (queue != null) ? queue.waiting.size() : 0;
	}

	int inFlightCount(CustomerId customer) {
		CustomerQueue queue = this.customerQueues.get(customer);
		return (queue != null) ? queue.inFlightCount : 0;
	}

	double estimatedMillis(CustomerId customer) {
		CustomerQueue queue = this.customerQueues.get(customer);
		return (queue != null) ? queue.estimatedMillis : INITIAL_ESTIMATE_MILLIS;
	}

	boolean hasEstimate(CustomerId customer) {
		CustomerQueue queue = this.customerQueues.get(customer);
		return queue != null && queue.hasEstimate;
	}

	void add(RequestRecord request) {
		customerQueue(request.customer()).waiting.addLast(request);
		this.size++;
	}

	void addFirst(RequestRecord request) {
		customerQueue(request.customer()).waiting.addFirst(request);
		this.size++;
	}

	boolean remove(RequestRecord request) {
		CustomerQueue queue = this.customerQueues.get(request.customer());
		if (queue == null || !queue.waiting.remove(request)) {
			return false;
		}
		this.size--;
		return true;
	}

	/**
	 * The customers with waiting requests, lowest virtual time first.
	 * @return a copy
	 */
	List<CustomerId> customersByVirtualTime() {
		List<CustomerId> waiting = new ArrayList<>();
		for (Map.Entry<CustomerId, CustomerQueue> entry : this.customerQueues.entrySet()) {
			if (!entry.getValue().waiting.isEmpty()) {
				waiting.add(entry.getKey());
			}
		}
		waiting.sort((first, second) -> Double.compare(this.customerQueues.get(first).virtualTime,
				this.customerQueues.get(second).virtualTime));
		return waiting;
	}

	/**
	 * The waiting requests of a customer, oldest first.
	 * @param customer the customer
	 * @return a copy
	 */
	List<RequestRecord> waiting(CustomerId customer) {
		CustomerQueue queue = this.customerQueues.get(customer);
		return (queue != null) ? List.copyOf(queue.waiting) : List.of();
	}

	RequestRecord peekFirst(CustomerId customer) {
		return this.customerQueues.get(customer).waiting.peekFirst();
	}

	List<RequestRecord> allWaiting() {
		List<RequestRecord> requests = new ArrayList<>();
		for (CustomerQueue queue : this.customerQueues.values()) {
			requests.addAll(queue.waiting);
		}
		return requests;
	}

	// Removes the request and charges its customer the estimated slot time.
	void removeAndCharge(RequestRecord request) {
		remove(request);
		chargeEstimate(request.customer());
	}

	void chargeEstimate(CustomerId customer) {
		CustomerQueue queue = customerQueue(customer);
		this.virtualTime = Math.max(this.virtualTime, queue.virtualTime);
		queue.inFlightCount++;
		queue.virtualTime += queue.estimatedMillis / weight(customer);
	}

	/**
	 * Corrects the charge when an attempt has released its slot.
	 * @param customer its customer
	 * @param actualMillis the actual slot time
	 * @param representative whether the time is representative of the customer's requests
	 * and updates the estimate
	 */
	void onAttemptEnded(CustomerId customer, double actualMillis, boolean representative) {
		CustomerQueue queue = customerQueue(customer);
		queue.inFlightCount = Math.max(0, queue.inFlightCount - 1);
		queue.virtualTime += (actualMillis - queue.estimatedMillis) / weight(customer);
		if (!representative) {
			return;
		}
		queue.estimatedMillis = queue.hasEstimate
				? queue.estimatedMillis + SMOOTHING_FACTOR * (actualMillis - queue.estimatedMillis) : actualMillis;
		queue.estimatedMillis = Math.max(1, queue.estimatedMillis);
		queue.hasEstimate = true;
	}

	private CustomerQueue customerQueue(CustomerId customer) {
		CustomerQueue queue = this.customerQueues.get(customer);
		if (queue == null) {
			queue = new CustomerQueue();
			this.customerQueues.put(customer, queue);
		}
		// An idle customer must not accumulate credit with which it would then starve the
		// others.
		if (queue.waiting.isEmpty() && queue.inFlightCount == 0) {
			queue.virtualTime = Math.max(queue.virtualTime, this.virtualTime);
		}
		return queue;
	}

	private double weight(CustomerId customer) {
		return Math.max(1e-6, this.weights.applyAsDouble(customer));
	}

	private static final class CustomerQueue {

		private final Deque<RequestRecord> waiting = new ArrayDeque<>();

		private double virtualTime;

		private int inFlightCount;

		private double estimatedMillis = INITIAL_ESTIMATE_MILLIS;

		private boolean hasEstimate;

	}

}
