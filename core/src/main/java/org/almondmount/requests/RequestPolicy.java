package org.almondmount.requests;

import java.time.Duration;
import java.util.Optional;

import org.almondmount.model.ZoneId;

/**
 * The options of the request router. Immutable; changed by its with-methods.
 *
 * @param ownZone the entry's availability zone, whose targets are preferred; empty for no
 * preference
 * @param queueLimit requests of all customers that may wait, at least 1
 * @param minQueuePerCustomer places that each customer has whatever its weight
 * @param maxCustomerShare the share of all slots that one customer may hold while more
 * than one is configured, above 0 up to 1
 * @param maxAttempts attempts at one request, at least 1
 * @param retryRatio retries allowed for each first attempt
 * @param retryReserve retries allowed before any first attempt, and the most that are
 * saved up
 * @param noTargetTimeout how long a request waits while no target may take it
 * @param busyRetryAfter the time to come back that a refusal names when nothing better is
 * known
 * @param hedgeAfter when a slow idempotent attempt is made a second time elsewhere; empty
 * for never
 * @param cancelGrace how long after its deadline an attempt still counts as a slot in use
 * while its target says nothing
 * @param targets how targets are chosen and ejected
 */
public record RequestPolicy(Optional<ZoneId> ownZone, int queueLimit, int minQueuePerCustomer, double maxCustomerShare,
		int maxAttempts, double retryRatio, int retryReserve, Duration noTargetTimeout, Duration busyRetryAfter,
		Optional<Duration> hedgeAfter, Duration cancelGrace, TargetPolicy targets) {

	/** The options that hold where nothing else is said. */
	public static final RequestPolicy DEFAULT = new RequestPolicy(Optional.empty(), 1_024, 8, 0.8, 3, 0.2, 10,
			Duration.ofSeconds(1), Duration.ofSeconds(1), Optional.empty(), Duration.ofSeconds(5),
			TargetPolicy.DEFAULT);

	public RequestPolicy withOwnZone(ZoneId zone) {
		return new RequestPolicy(Optional.of(zone), this.queueLimit, this.minQueuePerCustomer, this.maxCustomerShare,
				this.maxAttempts, this.retryRatio, this.retryReserve, this.noTargetTimeout, this.busyRetryAfter,
				this.hedgeAfter, this.cancelGrace, this.targets);
	}

	public RequestPolicy withQueueLimit(int limit) {
		return new RequestPolicy(this.ownZone, limit, this.minQueuePerCustomer, this.maxCustomerShare, this.maxAttempts,
				this.retryRatio, this.retryReserve, this.noTargetTimeout, this.busyRetryAfter, this.hedgeAfter,
				this.cancelGrace, this.targets);
	}

	public RequestPolicy withMinQueuePerCustomer(int minimum) {
		return new RequestPolicy(this.ownZone, this.queueLimit, minimum, this.maxCustomerShare, this.maxAttempts,
				this.retryRatio, this.retryReserve, this.noTargetTimeout, this.busyRetryAfter, this.hedgeAfter,
				this.cancelGrace, this.targets);
	}

	public RequestPolicy withRetries(int attempts, double ratio, int reserve) {
		return new RequestPolicy(this.ownZone, this.queueLimit, this.minQueuePerCustomer, this.maxCustomerShare,
				attempts, ratio, reserve, this.noTargetTimeout, this.busyRetryAfter, this.hedgeAfter, this.cancelGrace,
				this.targets);
	}

	public RequestPolicy withHedgeAfter(Duration time) {
		return new RequestPolicy(this.ownZone, this.queueLimit, this.minQueuePerCustomer, this.maxCustomerShare,
				this.maxAttempts, this.retryRatio, this.retryReserve, this.noTargetTimeout, this.busyRetryAfter,
				Optional.of(time), this.cancelGrace, this.targets);
	}

	public RequestPolicy withoutHedge() {
		return new RequestPolicy(this.ownZone, this.queueLimit, this.minQueuePerCustomer, this.maxCustomerShare,
				this.maxAttempts, this.retryRatio, this.retryReserve, this.noTargetTimeout, this.busyRetryAfter,
				Optional.empty(), this.cancelGrace, this.targets);
	}

	public RequestPolicy withTargets(TargetPolicy policy) {
		return new RequestPolicy(this.ownZone, this.queueLimit, this.minQueuePerCustomer, this.maxCustomerShare,
				this.maxAttempts, this.retryRatio, this.retryReserve, this.noTargetTimeout, this.busyRetryAfter,
				this.hedgeAfter, this.cancelGrace, policy);
	}

}
