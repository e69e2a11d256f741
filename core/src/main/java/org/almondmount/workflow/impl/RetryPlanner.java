package org.almondmount.workflow.impl;

import java.util.List;
import java.util.Optional;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.attempt.AttemptHistory;
import org.almondmount.workflow.attempt.FailedUnit;
import org.almondmount.workflow.attempt.RetryDecision;
import org.almondmount.workflow.attempt.RetryPlacement;
import org.almondmount.workflow.attempt.WorkerView;

/**
 * Restricts the retries of a placement round to the workers that suit them. Owned by the
 * scheduler.
 */
final class RetryPlanner {

	/**
	 * Time in milliseconds after the start of a term until all workers have reported,
	 * since targets connect to a new holder one after the other. Until then, a worker on
	 * which a unit failed may only look like the last one left.
	 */
	private static final long FLEET_DISCOVERY_MILLIS = 1_000;

	private final SchedulerState state;

	private final Placer placer;

	RetryPlanner(SchedulerState state) {
		this.state = state;
		this.placer = new Placer(state.policy(), state::steadyMillis, state::speedProfile);
	}

	/**
	 * Whether it matters where the attempts of a queue's jobs fail.
	 * @param state the state of the scheduler
	 * @param queue the queue
	 * @return whether the feature is active and acts for this queue
	 */
	static boolean spreadsAttempts(SchedulerState state, JobQueue queue) {
		return state.has(SchedulerFeature.SPREAD_ATTEMPTS) && queue.hasSpareAttempts();
	}

	/**
	 * Restricts a unit to the workers on which it may be retried.
	 * @param unit a unit with all workers that may run it
	 * @return the unit with the workers that may run it now, or empty if it has to wait
	 * and no capacity may be kept for it
	 */
	Optional<WorkUnit> restrict(WorkUnit unit) {
		TaskState owner = unit.step().failureCountOwner(unit.firstTask());
		if (owner.failures() == 0 || unit.step().spec().longRunning()) {
			return Optional.of(unit);
		}
		if (!spreadsAttempts(this.state, unit.queue())) {
			owner.attempts().clear();
			return Optional.of(unit);
		}
		RetryDecision<Worker> decision = decide(unit, owner);
		report(unit, owner, decision);
		if (decision.placement().waits()) {
			return Optional.empty();
		}
		return Optional.of(unit.withWorkers(decision.workers()));
	}

	private RetryDecision<Worker> decide(WorkUnit unit, TaskState owner) {
		long now = this.state.steadyMillis();
		long latestStart = now + unit.deadline().latestStartMillis() - this.state.wallMillis();
		FailedUnit failed = new FailedUnit(owner.failures(), unit.queue().maxAttempts(), owner.attempts().workers(),
				owner.attempts().failedAtMillis(now), latestStart, !unit.guaranteed());
		long workersKnownAtMillis = now - this.state.termAgeMillis() + FLEET_DISCOVERY_MILLIS;
		boolean oneRack = this.placer.requiresOneRack(unit, unit.workers());
		return RetryDecision.of(now, failed, unit.workers(), workersKnownAtMillis,
				new UnitWorkers(now, unit, this.placer, oneRack));
	}

	private void report(WorkUnit unit, TaskState owner, RetryDecision<Worker> decision) {
		RetryPlacement placement = decision.placement();
		AttemptHistory history = owner.attempts();
		if (placement == RetryPlacement.UNRESTRICTED || !history.markReported(placement)) {
			return;
		}
		long now = this.state.steadyMillis();
		this.state.explain(placement.event(), "job", unit.step().job().id(), "task", owner.id(), "failures",
				owner.failures(), "maxAttempts", unit.queue().maxAttempts(), "failedOn",
				decision.failedOn().stream().map(Worker::target).toList(), "usableWorkers", decision.workers().size(),
				"eligibleWorkers", unit.workers().size(), "ageMillis", now - history.failedAtMillis(now),
				"waitsAtMostMillis", Math.max(0, decision.untilMillis() - now));
		placement.counted().ifPresent(this.state::count);
	}

	/**
	 * The workers as a unit needs them.
	 *
	 * @param now the steady clock
	 * @param unit the unit
	 * @param placer chooses the racks
	 * @param oneRack whether the unit is placed in one rack if it is not restricted
	 */
	private record UnitWorkers(long now, WorkUnit unit, Placer placer, boolean oneRack) implements WorkerView<Worker> {

		@Override
		public String name(Worker worker) {
			return worker.incarnation().worker();
		}

		@Override
		public boolean isProven(Worker worker) {
			return worker.health().isProven(this.now);
		}

		// A gang that would run slowly across racks is better retried in a complete rack.
		@Override
		public boolean couldHold(List<Worker> workers) {
			return this.oneRack ? this.placer.requiresOneRack(this.unit, workers)
					: TentativeCapacity.ofIdleWorkers().canPlaceAll(workers, this.unit);
		}

		@Override
		public boolean hasRoom(List<Worker> workers) {
			TentativeCapacity free = TentativeCapacity.available();
			if (!this.oneRack) {
				return free.canPlaceAll(workers, this.unit);
			}
			return this.placer.racks(this.unit, workers).stream().anyMatch((rack) -> free.canPlaceAll(rack, this.unit));
		}

	}

}
