package org.almondmount.requests.impl;

import java.time.Duration;
import java.util.Optional;

import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.requests.RequestPolicy;

/**
 * Decides whether an arriving request is queued or refused. Not thread-safe.
 */
final class Admission {

	private static final double UNKNOWN_CUSTOMER_WEIGHT = 1;

	private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

	private final RequestPolicy policy;

	private final FairQueue queue;

	Admission(RequestPolicy policy, FairQueue queue) {
		this.policy = policy;
		this.queue = queue;
	}

	static double weight(Configuration configuration, CustomerId customer) {
		Customer known = configuration.customers().get(customer);
		return (known != null) ? known.weight() : UNKNOWN_CUSTOMER_WEIGHT;
	}

	/**
	 * Checks whether a request has to be refused on arrival.
	 * @param now the time
	 * @param configuration the accepted configuration
	 * @param customer its customer
	 * @param deadline its deadline
	 * @param pendingClaims number of requests whose keys are being claimed; they need a
	 * queue place too
	 * @param slots the number of usable slots of all targets
	 * @return a refusal, or empty if the request may be queued
	 */
	Optional<Refusal> check(long now, Configuration configuration, CustomerId customer, long deadline,
			int pendingClaims, int slots) {
		if (deadline <= now) {
			return Optional.of(Refusal.notRun(RefusalReason.DEADLINE, "the deadline had already passed on arrival"));
		}
		int waiting = this.queue.size(customer);
		double waitMillis = expectedWaitMillis(configuration, customer, slots);
		if (waiting >= maxWaiting(configuration, customer)) {
			return Optional.of(Refusal
				.notRun(RefusalReason.CUSTOMER_LIMIT, "the customer already has " + waiting + " requests waiting")
				.withRetryAfter(retryAfter(waitMillis)));
		}
		if (this.queue.size() + pendingClaims >= this.policy.queueLimit()) {
			return Optional.of(Refusal
				.notRun(RefusalReason.QUEUE_FULL, "the entry already has the maximum number of requests waiting")
				.withRetryAfter(retryAfter(waitMillis)));
		}
		if (this.queue.hasEstimate(customer) && now + waitMillis > deadline) {
			return Optional.of(
					Refusal
						.notRun(RefusalReason.DEADLINE,
								"the expected wait of " + (long) waitMillis
										+ " ms is longer than the time to the deadline")
						.withRetryAfter(retryAfter(waitMillis)));
		}
		return Optional.empty();
	}

	/**
	 * The retry-after time of a refusal due to load.
	 * @param waitMillis the expected wait in milliseconds
	 * @return the wait, limited to the minimum and maximum retry-after time
	 */
	Duration retryAfter(double waitMillis) {
		long minMillis = this.policy.busyRetryAfter().toMillis();
		return Duration.ofMillis((long) Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(minMillis, waitMillis)));
	}

	/**
	 * Maximum number of slots that one customer may use at the same time.
	 * @param configuration the accepted configuration
	 * @param slots the number of usable slots of all targets
	 * @return the number of slots, at least 1
	 */
	int maxInFlight(Configuration configuration, int slots) {
		if (configuration.customers().size() < 2) {
			return Integer.MAX_VALUE;
		}
		return Math.max(1, (int) Math.floor(slots * this.policy.maxCustomerShare()));
	}

	// The shares of all customers add up to the whole queue, so a customer within its
	// share finds a place regardless of the others.
	private int maxWaiting(Configuration configuration, CustomerId customer) {
		double totalWeight = configuration.customers().containsKey(customer) ? 0 : UNKNOWN_CUSTOMER_WEIGHT;
		for (Customer known : configuration.customers().values()) {
			totalWeight += known.weight();
		}
		int share = (int) Math.floor(this.policy.queueLimit() * weight(configuration, customer) / totalWeight);
		return Math.max(this.policy.minQueuePerCustomer(), share);
	}

	private double expectedWaitMillis(Configuration configuration, CustomerId customer, int slots) {
		double ownWeight = weight(configuration, customer);
		double otherWeights = 0;
		for (CustomerId other : this.queue.customersByVirtualTime()) {
			if (!other.equals(customer)) {
				otherWeights += weight(configuration, other);
			}
		}
		double usableSlots = Math.max(1, slots) * ownWeight / (ownWeight + otherWeights);
		return this.queue.size(customer) * this.queue.estimatedMillis(customer) / usableSlots;
	}

}
