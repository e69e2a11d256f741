package org.almondmount.workflow.attempt;

import java.util.List;
import java.util.Set;

/**
 * The decision where a retry may be placed now. Immutable.
 * <p>
 * Answers outbreaks in which some workers fail what they start within a fraction of a
 * second. Such workers look free, so a job that is retried by the rules of a first
 * attempt meets them again and again.
 *
 * @param <W> the type of a worker
 * @param placement the kind of the decision
 * @param workers the workers that may run the unit; empty if it is not placed for now
 * @param failedOn the workers of the choice on which the unit failed
 * @param untilMillis when the unit stops waiting for the workers to which the decision
 * restricts it, a time of the steady clock
 */
public record RetryDecision<W>(RetryPlacement placement, List<W> workers, List<W> failedOn, long untilMillis) {

	public RetryDecision {
		workers = List.copyOf(workers);
		failedOn = List.copyOf(failedOn);
	}

	/**
	 * Decides on the retry of a unit.
	 * @param <W> the type of a worker
	 * @param now the steady clock
	 * @param unit the unit
	 * @param workers the workers that may run a first attempt
	 * @param workersKnownAtMillis when all workers of the fleet have had time to report,
	 * a time of the steady clock
	 * @param view what is known of the workers
	 * @return the decision
	 */
	public static <W> RetryDecision<W> of(long now, FailedUnit unit, List<W> workers, long workersKnownAtMillis,
			WorkerView<W> view) {
		List<W> others = without(unit.failedOn(), workers, view);
		if (others.size() == workers.size()) {
			return restrictToProven(new RetryDecision<>(RetryPlacement.UNRESTRICTED, workers, List.of(), now), now,
					unit, view);
		}
		List<W> failedOn = workers.stream().filter((worker) -> unit.failedOn().contains(view.name(worker))).toList();
		boolean othersCouldHold = view.couldHold(others);
		if (!othersCouldHold && unit.mayWait() && now < workersKnownAtMillis) {
			return new RetryDecision<>(RetryPlacement.AWAITING_WORKERS, List.of(), failedOn, workersKnownAtMillis);
		}
		boolean avoids = othersCouldHold && (now < unit.avoidUntilMillis() || view.hasRoom(others));
		return restrictToProven(
				avoids ? new RetryDecision<>(RetryPlacement.AVOIDING_FAILED, others, failedOn, unit.avoidUntilMillis())
						: new RetryDecision<>(RetryPlacement.REPEATING, workers, failedOn, now),
				now, unit, view);
	}

	private static <W> RetryDecision<W> restrictToProven(RetryDecision<W> decision, long now, FailedUnit unit,
			WorkerView<W> view) {
		if (!unit.lastAttempt()) {
			return decision;
		}
		List<W> proven = (decision.placement == RetryPlacement.AVOIDING_FAILED)
				? without(unit.failedOn(), view.proven(), view) : view.proven();
		if (proven.size() == decision.workers.size()) {
			return decision;
		}
		long untilMillis = unit.holdUntilMillis();
		boolean waits = now < untilMillis;
		if (view.couldHold(proven) && (waits || view.hasRoom(proven))) {
			return new RetryDecision<>(RetryPlacement.ON_PROVEN, proven, decision.failedOn, untilMillis);
		}
		if (waits) {
			return new RetryDecision<>(RetryPlacement.HELD_BACK, List.of(), decision.failedOn, untilMillis);
		}
		return new RetryDecision<>(RetryPlacement.UNPROVEN, decision.workers, decision.failedOn, now);
	}

	private static <W> List<W> without(Set<String> names, List<W> workers, WorkerView<W> view) {
		return workers.stream().filter((worker) -> !names.contains(view.name(worker))).toList();
	}

}
