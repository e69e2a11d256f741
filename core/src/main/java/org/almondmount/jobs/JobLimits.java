package org.almondmount.jobs;

import java.time.Duration;

import org.almondmount.model.InvalidValueException;

/**
 * Limits of the job scheduler's state and thresholds of its policies. Immutable.
 *
 * @param waitingPerCustomer the maximum number of waiting jobs per customer
 * @param waiting the maximum number of waiting jobs of all customers
 * @param endedKept the number of ended jobs that are retained for listings
 * @param healthyWorkersTried the number of different healthy workers on which a job may
 * fail before it ends as failed
 * @param agingAfter how long a job waits before it takes precedence
 * @param reservationAfter how long a gang waits before workers are reserved for it
 * @param preemptionCooldown how long a job that was preempted or moved is exempt from
 * another preemption or move
 */
public record JobLimits(int waitingPerCustomer, int waiting, int endedKept, int healthyWorkersTried,
		Duration agingAfter, Duration reservationAfter, Duration preemptionCooldown) {

	/** The default limits. */
	public static final JobLimits DEFAULT = new JobLimits(20_000, 200_000, 5_000, 3, Duration.ofMinutes(10),
			Duration.ofSeconds(30), Duration.ofMinutes(2));

	public JobLimits {
		requirePositive("waitingPerCustomer", waitingPerCustomer);
		requirePositive("waiting", waiting);
		requirePositive("endedKept", endedKept);
		requirePositive("healthyWorkersTried", healthyWorkersTried);
	}

	public JobLimits withWaitingPerCustomer(int count) {
		return new JobLimits(count, this.waiting, this.endedKept, this.healthyWorkersTried, this.agingAfter,
				this.reservationAfter, this.preemptionCooldown);
	}

	public JobLimits withEndedKept(int count) {
		return new JobLimits(this.waitingPerCustomer, this.waiting, count, this.healthyWorkersTried, this.agingAfter,
				this.reservationAfter, this.preemptionCooldown);
	}

	private static void requirePositive(String field, int count) {
		if (count < 1) {
			throw new InvalidValueException(field, "is " + count + "; give 1 or more");
		}
	}

}
