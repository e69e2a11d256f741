package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.Workflow;
import org.almondmount.workflow.sharing.CustomerShare;
import org.almondmount.workflow.sharing.ReservationScope;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Two workers, of which the first is free in 2 s and the second in 9 s. */
class ReservationTests {

	private static final CustomerShare ABOVE = new CustomerShare(0.5, 0.25);

	private static final CustomerShare BELOW = new CustomerShare(0.25, 0.5);

	private final List<Worker> workers = new ArrayList<>(List.of(workerFreeIn(2_000), workerFreeIn(9_000)));

	// Guards against two reservations that count the same worker, so that the second
	// unit finds it taken and waits again.
	@Test
	void reservationCountsTheRoomOfEarlierOnes() {
		Reservation first = plan(unit(10_000, false));
		Reservation second = plan(unit(10_000, false), first);
		assertThat(first.delayMillis()).isEqualTo(2_000);
		assertThat(second.delayMillis()).isEqualTo(9_000);
		assertThat(second.placement().values()).doesNotContainAnyElementsOf(first.placement().values());
	}

	@Test
	void reservationFollowsAnEarlierOneThatEndsBeforeOtherRoomIsFree() {
		assertThat(plan(unit(10_000, false), plan(unit(3_000, false))).delayMillis()).isEqualTo(5_000);
	}

	@Test
	void roomForACustomerBelowItsEntitlementIsKeptFromLongWorkOfOthersAbove() {
		Reservation reservation = plan(unit(10_000, false)).withScope(ReservationScope.ABOVE_ENTITLEMENT);
		assertThat(reservation.holdsOff(unit(3_000, false), ABOVE)).isTrue();
		assertThat(reservation.holdsOff(unit(1_000, false), ABOVE)).isFalse();
		assertThat(reservation.holdsOff(unit(3_000, false), BELOW)).isFalse();
		assertThat(reservation.holdsOff(unit(3_000, true), ABOVE)).isFalse();
	}

	@Test
	void reservationsForEntitlementsKeepHalfOfTheFleetAtMost() {
		Reservations reservations = new Reservations();
		assertThat(reservations.wouldReserveTooMuch(unit(1_000, false))).isFalse();
		reservations.add(plan(unit(1_000, false)));
		assertThat(reservations.wouldReserveTooMuch(unit(1_000, false))).isTrue();
	}

	@Test
	void eachCustomerBelowItsEntitlementClaimsOneReservationBesideTheFirstTwo() {
		Reservations reservations = new Reservations();
		for (int count = 0; count < 2; count++) {
			assertThat(reservations.claim(unit(1_000, false), ABOVE)).contains(ReservationScope.ALL);
			reservations.add(plan(unit(1_000, false)));
		}
		assertThat(reservations.claim(unit(1_000, "another"), ABOVE)).isEmpty();
		assertThat(reservations.claim(unit(1_000, "another"), BELOW)).contains(ReservationScope.ABOVE_ENTITLEMENT);
		assertThat(reservations.claim(unit(1_000, "another"), BELOW)).isEmpty();
	}

	private Reservation plan(WorkUnit unit, Reservation... earlier) {
		return Reservation.earliest(0, unit, List.of(this.workers), List.of(earlier)).orElseThrow();
	}

	private static Worker workerFreeIn(long millis) {
		WorkerIncarnation incarnation = new WorkerIncarnation("w" + millis, 1);
		Worker worker = new Worker("t" + millis, incarnation, 0);
		worker.describe(0,
				new WorkerDescription(incarnation, "pool", "z", Set.of(), new ResourceAmount(8_000, 8, 8), false, 0));
		worker.add(new Run(step(millis, "c").tasks().get(0), 1, worker, 1, Run.State.RUNNING));
		return worker;
	}

	private WorkUnit unit(long millis, boolean guaranteed) {
		return unit(step(millis, "c"), guaranteed);
	}

	private WorkUnit unit(long millis, String customer) {
		return unit(step(millis, customer), false);
	}

	private WorkUnit unit(StepState step, boolean guaranteed) {
		return new WorkUnit(new JobQueue("q", "h", "/", "pool", 1, 2, 3, 1_000, false, false), step, step.tasks(),
				this.workers, new DeadlineEstimate(Timeliness.IN_TIME, 0, 1), guaranteed, IsolationLevel.NONE);
	}

	private static StepState step(long millis, String customer) {
		Step step = new Step(1, new ResourceAmount(8_000, 8, 8), millis, List.of(), false, true,
				Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
		return new JobState(new Workflow("j" + millis, "q", customer, "p", List.of(step), Workflow.Schedule.ONCE, 0))
			.step(0, 0);
	}

}
