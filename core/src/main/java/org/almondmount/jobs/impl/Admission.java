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
 * Says on submission whether a job is taken in. Not thread-safe.
 */
final class Admission {

	private static final Duration COME_BACK = Duration.ofSeconds(10);

	private final Desk desk;

	private final Fleet fleet;

	private final WaitingJobs waiting;

	Admission(Desk desk, Fleet fleet, WaitingJobs waiting) {
		this.desk = desk;
		this.fleet = fleet;
		this.waiting = waiting;
	}

	/**
	 * Why a job is refused, if it is.
	 * @param spec the job
	 * @return the refusal
	 */
	Optional<Refusal> refusal(JobSpec spec) {
		int mine = this.waiting.customer(spec.customer()).waiting;
		int limit = this.desk.policy.limits().waitingPerCustomer();
		if (mine >= limit) {
			return Optional.of(
					Refusal
						.notRun(RefusalReason.CUSTOMER_LIMIT,
								"customer " + spec.customer() + " has " + mine + " waiting jobs of " + limit
										+ " allowed")
						.withRetryAfter(COME_BACK));
		}
		if (this.waiting.waiting() >= this.desk.policy.limits().waiting()) {
			return Optional
				.of(Refusal.notRun(RefusalReason.QUEUE_FULL, this.waiting.waiting() + " jobs of all customers wait")
					.withRetryAfter(COME_BACK));
		}
		return neverFits(spec.shape()).map((why) -> Refusal.notRun(RefusalReason.NEVER_FITS, why));
	}

	/**
	 * What keeps a gang from fitting the empty fleet, zones that are out included because
	 * they come back. Nothing can be said while no worker is known.
	 * @param shape the gang
	 * @return the result
	 */
	private Optional<String> neverFits(GangShape shape) {
		FleetCapacity capacities = this.fleet.emptyCapacity();
		if (capacities.isEmpty()) {
			return Optional.empty();
		}
		Resources need = (shape.adjacency() == Adjacency.WORKER) ? shape.total() : shape.perMember();
		Optional<String> dimension = capacities.explainExceededDimension(need);
		if (dimension.isPresent()) {
			return dimension;
		}
		int most = capacities.maxMembers(shape);
		if (most >= shape.members()) {
			return Optional.empty();
		}
		return Optional.of("members: " + shape.members() + " with adjacency " + shape.adjacency()
				+ " are asked for, at most " + most + " fit together into the empty fleet");
	}

}
