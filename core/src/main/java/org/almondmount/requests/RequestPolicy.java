package org.almondmount.requests;

import java.time.Duration;
import java.util.Optional;

import org.almondmount.model.ZoneId;

/**
 * Options of the request router. Immutable; the {@code with} methods return changed
 * copies.
 *
 * @param ownZone the entry's availability zone, whose targets are preferred; empty for no
 * preference
 * @param queueLimit maximum number of waiting requests over all customers, at least 1
 * @param minQueuePerCustomer minimum queue limit of a customer, regardless of its weight
 * @param maxCustomerShare maximum share of all slots that one customer may use while more
 * than one customer is configured, above 0 up to 1
 * @param maxAttempts maximum number of attempts for a request, at least 1
 * @param retryRatio retries allowed per first attempt
 * @param retryReserve initial and maximum balance of the retry budget
 * @param noTargetTimeout how long a request waits while no target can serve it
 * @param busyRetryAfter default retry-after time of refusals
 * @param hedgeAfter delay after which a slow idempotent request is sent to a second
 * target; empty to disable hedging
 * @param cancelGrace how long after the deadline an unanswered attempt still occupies a
 * slot of its target
 * @param targets options for slow start and ejection of targets
 */
public record RequestPolicy(Optional<ZoneId> ownZone, int queueLimit, int minQueuePerCustomer, double maxCustomerShare,
		int maxAttempts, double retryRatio, int retryReserve, Duration noTargetTimeout, Duration busyRetryAfter,
		Optional<Duration> hedgeAfter, Duration cancelGrace, TargetPolicy targets) {

	/** The default options. */
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
