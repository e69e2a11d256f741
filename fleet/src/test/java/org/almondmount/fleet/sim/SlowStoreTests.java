package org.almondmount.fleet.sim;

import org.almondmount.fleet.Tables;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SlowStoreTests {

	private static final int SLOWDOWN_FACTOR = 200;

	private static final int SERIAL_SLOWDOWN_FACTOR = 100;

	// From one moment to the next the store takes 0.8 s per answer. Calls that are
	// abandoned before their answer arrives are wasted. A holder that learns the outcome
	// of none of its commits loses the term to the next one, which learns none either,
	// and accepted jobs do not start until the store is fast again.
	@Test
	void aJobCompletesWhileTheStoreIsSlow() {
		FleetSimulation simulation = new FleetSimulation(5, 3, 5);
		simulation.runFor(3_000);
		simulation.store().slowDown(SLOWDOWN_FACTOR);
		simulation.runFor(1_000);
		Workflow job = simulation.smallJob("00000000000000aa");
		simulation.submit(job, 500, false);
		simulation.runFor(6_500);
		simulation.queryPhase(job.id());
		simulation.runFor(2_000);
		assertThat(simulation.checker().violations()).isEmpty();
		assertThat(simulation.observedPhases()).containsEntry(job.id(), JobPhase.COMPLETED);
	}

	// Callers allow some seconds. A write that is abandoned and sent again before its
	// answer arrives makes a slow store slower, and the caller never receives the answer
	// to the copy that took effect. So the first answer to any copy counts, and few
	// copies are sent.
	@Test
	void aJobIsAcceptedAsSoonAsTheSlowStoreAnswersItsFirstWrite() {
		FleetSimulation simulation = new FleetSimulation(5, 3, 5);
		simulation.runFor(3_000);
		simulation.store().slowDown(SLOWDOWN_FACTOR);
		simulation.runFor(200);
		long commitsBefore = simulation.store().commitCount(Tables.INTAKE);
		simulation.submit(simulation.smallJob("00000000000000aa"), 500, false);
		simulation.runFor(1_000);
		assertThat(simulation.acceptedJobs()).containsExactly("00000000000000aa");
		assertThat(simulation.store().commitCount(Tables.INTAKE) - commitsBefore).isEqualTo(1);
	}

	// Guards against a holder that sends copies of its commits to a slow store, which
	// executes them one after the other, and thereby loses its term: no run ends or
	// starts until the store is fast again.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void theHolderKeepsItsTermWhileTheStoreSerializesSlowCommits(long seed) {
		FleetSimulation simulation = new FleetSimulation(seed, 8, 5);
		simulation.runFor(4_000 + 61 * seed);
		long epoch = simulation.epoch();
		simulation.store().slowDownAndSerialize(SERIAL_SLOWDOWN_FACTOR);
		simulation.submit(simulation.smallJob("00000000000000aa"), 1_000, false);
		simulation.runFor(6_000);
		simulation.store().slowDownAndSerialize(1);
		simulation.runFor(200);
		assertThat(simulation.epoch()).isEqualTo(epoch);
		simulation.queryPhase("00000000000000aa");
		simulation.runFor(2_000);
		assertThat(simulation.checker().violations()).isEmpty();
		assertThat(simulation.observedPhases()).containsEntry("00000000000000aa", JobPhase.COMPLETED);
	}

}
