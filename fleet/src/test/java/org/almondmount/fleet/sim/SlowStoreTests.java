package org.almondmount.fleet.sim;

import org.almondmount.fleet.Tables;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SlowStoreTests {

	private static final int TIMES = 200;

	private static final int A_HUNDRED_TIMES = 100;

	// The store takes 0.8 s for an answer from one moment to the next. Each call that is
	// given up before its answer comes was in vain, and a holder that learns of none of
	// its commits hands the term to the next one, who learns of none either. Callers see
	// jobs that are accepted and do not begin until the store is fast again.
	@Test
	void aJobRunsToItsEndWhileTheStoreIsSlow() {
		FleetWorld world = new FleetWorld(5, 3, 5);
		world.runFor(3_000);
		world.store().slow(TIMES);
		world.runFor(1_000);
		Workflow job = world.smallJob("00000000000000aa");
		world.submit(job, 500, false);
		world.runFor(6_500);
		world.ask(job.id());
		world.runFor(2_000);
		assertThat(world.checker().broken()).isEmpty();
		assertThat(world.seen()).containsEntry(job.id(), JobPhase.COMPLETED);
	}

	// Callers give some seconds. A write that is given up and sent again before its
	// answer comes makes a slow store slower, and the caller never hears of the one that
	// took effect. So the first answer to any copy counts, and few copies are sent.
	@Test
	void aJobIsAcceptedAsSoonAsTheSlowStoreAnswersItsFirstWrite() {
		FleetWorld world = new FleetWorld(5, 3, 5);
		world.runFor(3_000);
		world.store().slow(TIMES);
		world.runFor(200);
		long before = world.store().commitsTo(Tables.INTAKE);
		world.submit(world.smallJob("00000000000000aa"), 500, false);
		world.runFor(1_000);
		assertThat(world.accepted()).containsExactly("00000000000000aa");
		assertThat(world.store().commitsTo(Tables.INTAKE) - before).isEqualTo(1);
	}

	// Guards against a holder that sends copies of its commits to a slow store, which
	// takes them one after the other, and loses its term by them: nothing ended or began
	// until the store was fast again.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void theHolderKeepsItsTermThroughAStoreThatTakesCommitsSlowlyOneByOne(long seed) {
		FleetWorld world = new FleetWorld(seed, 8, 5);
		world.runFor(4_000 + 61 * seed);
		long epoch = world.epoch();
		world.store().slowByPart(A_HUNDRED_TIMES);
		world.submit(world.smallJob("00000000000000aa"), 1_000, false);
		world.runFor(6_000);
		world.store().slowByPart(1);
		world.runFor(200);
		assertThat(world.epoch()).isEqualTo(epoch);
		world.ask("00000000000000aa");
		world.runFor(2_000);
		assertThat(world.checker().broken()).isEmpty();
		assertThat(world.seen()).containsEntry("00000000000000aa", JobPhase.COMPLETED);
	}

}
