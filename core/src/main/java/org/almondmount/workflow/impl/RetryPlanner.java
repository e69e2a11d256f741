package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

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

	/**
	 * Maximum number of retries of one step that are tried in a round without success,
	 * which bounds the time of a round after many tasks of a step have failed.
	 */
	private static final int MAX_FAILED_TRIES = 16;

	private final SchedulerState state;

	private final Placer placer;

	/** The proven ones of each list of workers, cached for the current round. */
	private final Map<List<Worker>, List<Worker>> proven = new IdentityHashMap<>();

	/** The number of retries that did not fit in the current round, by step. */
	private final Map<StepState, Integer> failedTries = new HashMap<>();

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

	/** Begins a placement round. */
	void beginRound() {
		this.proven.clear();
		this.failedTries.clear();
	}

	/**
	 * Forgets where a unit failed if the feature does not act for its queue.
	 * @param unit the unit
	 */
	void forgetUnusedAttempts(WorkUnit unit) {
		TaskState owner = unit.step().failureCountOwner(unit.firstTask());
		if (owner.failures() > 0 && !unit.step().spec().longRunning() && !spreadsAttempts(this.state, unit.queue())) {
			owner.attempts().clear();
		}
	}

	/**
	 * Whether a task of a unit's step is a retry that may be restricted to some workers.
	 * @param unit the unit
	 * @param task the task
	 * @return whether its workers may differ from those of a first attempt
	 */
	boolean mayRestrict(WorkUnit unit, TaskState task) {
		return unit.step().failureCountOwner(task).failures() > 0 && !unit.step().spec().longRunning()
				&& spreadsAttempts(this.state, unit.queue());
	}

	/**
	 * Whether room for a task of a unit's step may be planned together with the unit.
	 * @param unit the unit
	 * @param task the task
	 * @return whether it is a task of the unit, or both are first attempts
	 */
	boolean sharesWorkers(WorkUnit unit, TaskState task) {
		return unit.tasks().contains(task) || !(mayRestrict(unit, task) || mayRestrict(unit, unit.firstTask()));
	}

	/**
	 * Whether so many retries of a unit's step did not fit in this round that the unit is
	 * not tried.
	 * @param unit the unit
	 * @return whether it is a retry beyond the limit
	 */
	boolean triesUsedUp(WorkUnit unit) {
		return this.failedTries.getOrDefault(unit.step(), 0) >= MAX_FAILED_TRIES && mayRestrict(unit, unit.firstTask());
	}

	/**
	 * Counts a retry that was not placed in this round.
	 * @param unit the unit
	 */
	void countFailedTry(WorkUnit unit) {
		if (mayRestrict(unit, unit.firstTask())) {
			this.failedTries.merge(unit.step(), 1, Integer::sum);
		}
	}

	/**
	 * Restricts a unit to the workers on which it may be retried.
	 * @param unit a unit with all workers that may run it
	 * @param capacities supplies the capacity that is available to the unit
	 * @return the unit itself if it is not restricted, the unit with the workers that may
	 * run it now, or empty if it has to wait and no capacity may be kept for it
	 */
	Optional<WorkUnit> restrict(WorkUnit unit, Supplier<TentativeCapacity> capacities) {
		if (!mayRestrict(unit, unit.firstTask())) {
			return Optional.of(unit);
		}
		TaskState owner = unit.step().failureCountOwner(unit.firstTask());
		RetryDecision<Worker> decision = decide(unit, owner, capacities);
		report(unit, owner, decision);
		if (decision.placement().waits()) {
			return Optional.empty();
		}
		boolean restricted = decision.workers().size() < unit.workers().size();
		return Optional.of(restricted ? unit.withWorkers(decision.workers()) : unit);
	}

	private RetryDecision<Worker> decide(WorkUnit unit, TaskState owner, Supplier<TentativeCapacity> capacities) {
		long now = this.state.steadyMillis();
		long latestStart = now + unit.deadline().latestStartMillis() - this.state.wallMillis();
		FailedUnit failed = new FailedUnit(owner.failures(), unit.queue().maxAttempts(), owner.attempts().workers(),
				owner.attempts().failedAtMillis(now), latestStart, !unit.guaranteed());
		long workersKnownAtMillis = now - this.state.termAgeMillis() + FLEET_DISCOVERY_MILLIS;
		boolean oneRack = this.placer.requiresOneRack(unit, unit.workers());
		return RetryDecision.of(now, failed, unit.workers(), workersKnownAtMillis,
				new UnitWorkers(unit, this.placer, oneRack, () -> proven(unit.workers()), capacities));
	}

	private List<Worker> proven(List<Worker> workers) {
		long now = this.state.steadyMillis();
		return this.proven.computeIfAbsent(workers,
				(all) -> all.stream().filter((worker) -> worker.health().isProven(now)).toList());
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
	 * @param unit the unit
	 * @param placer places the unit
	 * @param oneRack whether the unit is placed in one rack if it is not restricted
	 * @param provenWorkers supplies the proven workers
	 * @param capacities supplies the capacity that is available to the unit
	 */
	private record UnitWorkers(WorkUnit unit, Placer placer, boolean oneRack, Supplier<List<Worker>> provenWorkers,
			Supplier<TentativeCapacity> capacities) implements WorkerView<Worker> {

		@Override
		public String name(Worker worker) {
			return worker.incarnation().worker();
		}

		@Override
		public List<Worker> proven() {
			return this.provenWorkers.get();
		}

		// A gang that would run slowly across racks is better retried in a complete rack.
		@Override
		public boolean couldHold(List<Worker> workers) {
			return this.oneRack ? this.placer.requiresOneRack(this.unit, workers)
					: TentativeCapacity.ofIdleWorkers().canPlaceAll(workers, this.unit);
		}

		@Override
		public boolean hasRoom(List<Worker> workers) {
			return this.placer.place(this.unit, workers, this.capacities).isPresent();
		}

	}

}
