package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.jobs.JobOutcome;
import org.almondmount.jobs.JobView;
import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.WorkerId;
import org.almondmount.model.ZoneState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GuaranteeTests {

	private static final GangShape RACK_OF_24 = VirtualFleet.gang(3, 8, Adjacency.RACK);

	private static final GangShape ONE = VirtualFleet.gang(1, 1, Adjacency.ANY);

	private static final long MAX_URGENT_START_MILLIS = 5_500;

	private final VirtualFleet fleet = VirtualFleet.of(2, 2, 3);

	private final ReclaimChecker checker = new ReclaimChecker(this.fleet);

	GuaranteeTests() {
		this.fleet.afterEvent = (fleet) -> this.checker.check();
	}

	@Test
	void ownersGangStartsInTimeAlthoughBorrowersOccupyEveryReservation() {
		this.fleet.putCustomer("owner", 1, new GuaranteedShape(2, RACK_OF_24));
		occupyFleetWithBorrowers();
		JobId first = this.fleet.submit("g1", VirtualFleet.spec("owner", RACK_OF_24), 60_000);
		JobId second = this.fleet.submit("g2", VirtualFleet.urgent(VirtualFleet.spec("owner", RACK_OF_24)), 60_000);
		this.fleet.runFor(MAX_URGENT_START_MILLIS);
		assertThat(this.fleet.countStartedTasks(first)).isEqualTo(3);
		assertThat(this.fleet.countStartedTasks(second)).isEqualTo(3);
	}

	@Test
	void borrowerThatIgnoresTheSuspendCommandIsStopped() {
		// The borrowers never answer the command to checkpoint. They must be stopped and
		// requeued as complete gangs when the checkpoint timeout is over, so that the
		// owner's gang still starts in time.
		this.fleet.putCustomer("owner", 1, new GuaranteedShape(1, RACK_OF_24));
		this.fleet.jobsIgnoringSuspend.addAll(occupyFleetWithBorrowers());
		JobId job = this.fleet.submit("g", VirtualFleet.urgent(VirtualFleet.spec("owner", RACK_OF_24)), 60_000);
		this.fleet.runFor(MAX_URGENT_START_MILLIS);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(3);
	}

	@Test
	void nonRepeatableWorkNeverRunsOnReservationsOfOthers() {
		this.fleet.putCustomer("owner", 1, new GuaranteedShape(4, RACK_OF_24));
		JobSpec once = VirtualFleet.nonRepeatable(VirtualFleet.spec("other", ONE));
		JobId job = this.fleet.submit("once", once, 60_000);
		this.fleet.runFor(60_000);
		assertThat(this.fleet.phase(job)).isEqualTo(JobView.Phase.WAITING);
	}

	@Test
	void workerLostDuringReclaimDelaysTheGangButDoesNotSplitIt() {
		// A worker of the reservation is lost while its borrowers are checkpointing. The
		// attempt of the owner's gang is abandoned for all members, the reservation moves
		// to a rack without lost workers, and the gang starts there.
		this.fleet.putCustomer("owner", 1, new GuaranteedShape(1, RACK_OF_24));
		occupyFleetWithBorrowers();
		JobId job = this.fleet.submit("g", VirtualFleet.urgent(VirtualFleet.spec("owner", RACK_OF_24)), 60_000);
		this.fleet.runFor(100);
		this.fleet.loseWorker(this.fleet.scheduler.job(job).orElseThrow().placement().get(0).worker());
		this.fleet.runFor(MAX_URGENT_START_MILLIS);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(3);
	}

	@Test
	void zoneTakenOutDuringReclaimMovesTheGangToAnotherZone() {
		this.fleet.putCustomer("owner", 1, new GuaranteedShape(1, RACK_OF_24));
		occupyFleetWithBorrowers();
		JobId job = this.fleet.submit("g", VirtualFleet.urgent(VirtualFleet.spec("owner", RACK_OF_24)), 60_000);
		this.fleet.runFor(100);
		WorkerId worker = this.fleet.scheduler.job(job).orElseThrow().placement().get(0).worker();
		this.fleet.setZoneState("z" + worker.value().charAt(1), ZoneState.OUT);
		this.fleet.runFor(MAX_URGENT_START_MILLIS);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(3);
		assertThat(this.fleet.scheduler.job(job).orElseThrow().placement().get(0).worker().value())
			.doesNotStartWith(worker.value().substring(0, 2));
	}

	@Test
	void urgentWorkPreemptsTheOwnersOwnWorkInTheReservation() {
		this.fleet.putCustomer("owner", 1, new GuaranteedShape(1, RACK_OF_24));
		occupyFleetWithBorrowers();
		JobId normal = this.fleet.submit("n", VirtualFleet.spec("owner", RACK_OF_24), 600_000);
		this.fleet.runFor(MAX_URGENT_START_MILLIS);
		assertThat(this.fleet.countStartedTasks(normal)).isEqualTo(3);
		JobId urgent = this.fleet.submit("u", VirtualFleet.urgent(VirtualFleet.spec("owner", RACK_OF_24)), 60_000);
		this.fleet.runFor(MAX_URGENT_START_MILLIS);
		assertThat(this.fleet.countStartedTasks(urgent)).isEqualTo(3);
		assertThat(this.fleet.countStartedTasks(normal)).isZero();
	}

	@Test
	void borrowersUseUnreservedCapacityFirst() {
		this.fleet.putCustomer("owner", 1, new GuaranteedShape(2, RACK_OF_24));
		for (int i = 0; i < 48; i++) {
			this.fleet.submit("b" + i, VirtualFleet.spec("other", ONE), 600_000);
		}
		this.fleet.runFor(1_000);
		JobId job = this.fleet.submit("g", VirtualFleet.spec("owner", RACK_OF_24), 60_000);
		this.fleet.runFor(300);
		assertThat(this.fleet.countStartedTasks(job)).isEqualTo(3);
		assertThat(this.fleet.endings).doesNotContainValue(JobOutcome.UNKNOWN);
	}

	private List<JobId> occupyFleetWithBorrowers() {
		List<JobId> borrowers = new ArrayList<>();
		for (int i = 0; i < 96; i++) {
			borrowers.add(this.fleet.submit("b" + i, VirtualFleet.spec("other", ONE), 600_000));
		}
		this.fleet.runFor(2_000);
		assertThat(this.fleet.tasks).hasSize(96);
		return borrowers;
	}

}
