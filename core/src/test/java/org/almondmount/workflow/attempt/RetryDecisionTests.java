package org.almondmount.workflow.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Decisions on a unit that needs one worker and failed last at 1,000 ms.
 */
class RetryDecisionTests {

	private static final List<String> WORKERS = List.of("a", "b", "c");

	private static final long FAILED_AT_MILLIS = 1_000;

	private static final long IN_TIME_MILLIS = 20_000;

	private final Set<String> proven = new HashSet<>();

	private final Set<String> free = new HashSet<>(WORKERS);

	@Test
	void unitThatFailedNowhereIsNotRestricted() {
		assertDecision(1_100, unit(1, true), RetryPlacement.UNRESTRICTED, WORKERS);
	}

	@Test
	void unitThatFailedIsRetriedElsewhere() {
		assertDecision(1_100, unit(1, true, "a"), RetryPlacement.AVOIDING_FAILED, List.of("b", "c"));
	}

	@Test
	void unitThatFailedEverywhereMayRepeatAWorker() {
		assertDecision(1_100, unit(1, true, "a", "b", "c"), RetryPlacement.REPEATING, WORKERS);
	}

	// The other workers may not have reported yet when a term begins.
	@Test
	void unitThatFailedEverywhereAwaitsTheFleet() {
		RetryDecision<String> decision = RetryDecision.of(1_100, unit(1, true, "a", "b", "c"), WORKERS, 1_500,
				new Workers());
		assertThat(decision.placement()).isEqualTo(RetryPlacement.AWAITING_WORKERS);
		assertThat(decision.workers()).isEmpty();
		assertThat(decision.untilMillis()).isEqualTo(1_500);
	}

	@Test
	void unitWaitsTwoSecondsForOtherWorkers() {
		this.free.retainAll(Set.of("a"));
		assertDecision(2_999, unit(1, true, "a"), RetryPlacement.AVOIDING_FAILED, List.of("b", "c"));
		assertDecision(3_000, unit(1, true, "a"), RetryPlacement.REPEATING, WORKERS);
	}

	@Test
	void guaranteedUnitDoesNotWaitForOtherWorkers() {
		this.free.retainAll(Set.of("a"));
		assertDecision(1_000, unit(1, false, "a"), RetryPlacement.REPEATING, WORKERS);
	}

	@Test
	void preferenceForOtherWorkersWithRoomDoesNotEnd() {
		assertDecision(900_000, unit(1, true, "a"), RetryPlacement.AVOIDING_FAILED, List.of("b", "c"));
		assertDecision(900_000, unit(1, false, "a"), RetryPlacement.AVOIDING_FAILED, List.of("b", "c"));
	}

	@Test
	void lastAttemptGoesToProvenWorkersWhereItHasNotFailed() {
		this.proven.addAll(Set.of("a", "c"));
		assertDecision(1_100, unit(2, true, "a"), RetryPlacement.ON_PROVEN, List.of("c"));
	}

	@Test
	void lastAttemptIsHeldBackWithoutProvenWorkers() {
		assertDecision(2_999, unit(2, true, "a"), RetryPlacement.HELD_BACK, List.of());
		assertDecision(3_000, unit(2, true, "a"), RetryPlacement.UNPROVEN, List.of("b", "c"));
	}

	@Test
	void lastAttemptThatIsLateIsHeldBackForOneSecond() {
		FailedUnit late = new FailedUnit(2, 3, Set.of("a"), FAILED_AT_MILLIS, 900, true);
		assertDecision(1_999, late, RetryPlacement.HELD_BACK, List.of());
		assertDecision(2_000, late, RetryPlacement.UNPROVEN, List.of("b", "c"));
	}

	@Test
	void guaranteedLastAttemptIsNotHeldBack() {
		assertDecision(1_000, unit(2, false, "a"), RetryPlacement.UNPROVEN, List.of("b", "c"));
	}

	@Test
	void preferenceForProvenWorkersWithRoomDoesNotEnd() {
		this.proven.add("c");
		assertDecision(900_000, unit(2, true, "a"), RetryPlacement.ON_PROVEN, List.of("c"));
		this.free.remove("c");
		assertDecision(900_000, unit(2, true, "a"), RetryPlacement.UNPROVEN, List.of("b", "c"));
	}

	private void assertDecision(long now, FailedUnit unit, RetryPlacement placement, List<String> workers) {
		RetryDecision<String> decision = RetryDecision.of(now, unit, WORKERS, 0, new Workers());
		assertThat(decision.placement()).isEqualTo(placement);
		assertThat(decision.workers()).isEqualTo(workers);
		assertThat(decision.failedOn()).containsExactlyInAnyOrderElementsOf(unit.failedOn());
	}

	private static FailedUnit unit(int failures, boolean mayWait, String... failedOn) {
		return new FailedUnit(failures, 3, Set.of(failedOn), FAILED_AT_MILLIS, IN_TIME_MILLIS, mayWait);
	}

	private final class Workers implements WorkerView<String> {

		@Override
		public String name(String worker) {
			return worker;
		}

		@Override
		public List<String> proven() {
			return WORKERS.stream().filter(RetryDecisionTests.this.proven::contains).toList();
		}

		@Override
		public boolean couldHold(List<String> workers) {
			return !workers.isEmpty();
		}

		@Override
		public boolean hasRoom(List<String> workers) {
			return workers.stream().anyMatch(RetryDecisionTests.this.free::contains);
		}

	}

}
