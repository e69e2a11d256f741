package org.almondmount.jobs;

import java.time.Duration;

import org.almondmount.model.InvalidValueException;

/**
 * The bounds of the job scheduler's state and the thresholds of its policies. Immutable.
 *
 * @param waitingPerCustomer jobs of one customer that may wait
 * @param waiting jobs that may wait altogether
 * @param endedKept ended jobs that are kept for listings
 * @param healthyWorkersTried different healthy workers on which a job may fail before it
 * is given up
 * @param agingAfter how long a job waits before it goes first
 * @param reservationAfter how long a gang waits before a place is kept for it
 * @param preemptionCooldown how long a job is left alone after it was preempted or moved
 */
public record JobLimits(int waitingPerCustomer, int waiting, int endedKept, int healthyWorkersTried,
		Duration agingAfter, Duration reservationAfter, Duration preemptionCooldown) {

	/** What is used unless something else is asked for. */
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
