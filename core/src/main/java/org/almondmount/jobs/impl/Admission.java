package org.almondmount.jobs.impl;

import java.time.Duration;
import java.util.Optional;

import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.Resources;

/**
 * Decides on submission whether a job is accepted. Not thread-safe.
 */
final class Admission {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(10);

	private final SchedulerContext context;

	private final Fleet fleet;

	private final WaitingJobs waiting;

	Admission(SchedulerContext context, Fleet fleet, WaitingJobs waiting) {
		this.context = context;
		this.fleet = fleet;
		this.waiting = waiting;
	}

	/**
	 * Checks whether a job has to be refused.
	 * @param spec the job
	 * @return the refusal, empty if the job is accepted
	 */
	Optional<Refusal> refusal(JobSpec spec) {
		int waitingOfCustomer = this.waiting.customer(spec.customer()).waitingCount;
		int limit = this.context.policy.limits().waitingPerCustomer();
		if (waitingOfCustomer >= limit) {
			return Optional.of(
					Refusal
						.notRun(RefusalReason.CUSTOMER_LIMIT,
								"customer " + spec.customer() + " has " + waitingOfCustomer + " waiting jobs of "
										+ limit + " allowed")
						.withRetryAfter(RETRY_AFTER));
		}
		if (this.waiting.waitingCount() >= this.context.policy.limits().waiting()) {
			return Optional.of(Refusal
				.notRun(RefusalReason.QUEUE_FULL,
						this.waiting.waitingCount() + " jobs of all customers are waiting, which is the limit")
				.withRetryAfter(RETRY_AFTER));
		}
		return neverFitsDetail(spec.shape()).map((detail) -> Refusal.notRun(RefusalReason.NEVER_FITS, detail));
	}

	/**
	 * Explains why a gang could not fit even the empty fleet. Zones that are out of
	 * service count as available because they come back. While no worker is known, every
	 * gang is assumed to fit.
	 * @param shape the gang
	 * @return the explanation, empty if the gang may fit
	 */
	private Optional<String> neverFitsDetail(GangShape shape) {
		FleetCapacity capacities = this.fleet.emptyCapacity();
		if (capacities.isEmpty()) {
			return Optional.empty();
		}
		Resources need = (shape.adjacency() == Adjacency.WORKER) ? shape.total() : shape.perMember();
		Optional<String> dimension = capacities.explainExceededDimension(need);
		if (dimension.isPresent()) {
			return dimension;
		}
		int maxMembers = capacities.maxMembers(shape);
		if (maxMembers >= shape.members()) {
			return Optional.empty();
		}
		return Optional.of("members: " + shape.members() + " with adjacency " + shape.adjacency()
				+ " are requested, but at most " + maxMembers + " fit together into the empty fleet");
	}

}
