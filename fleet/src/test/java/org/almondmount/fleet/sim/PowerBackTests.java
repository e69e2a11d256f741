package org.almondmount.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Power comes back everywhere at once, while a backlog waits and the machines of the
 * entries are so slow that a round of placing takes much longer than any event.
 * <p>
 * Callers with accepted jobs see nothing run at all: each worker tells the new holder of
 * itself and of each run that was not begun, the holder places after each of those words,
 * its renewals wait behind them, and its term ends. The next holder stops what the last
 * one had ordered, and fares the same.
 */
class PowerBackTests {

	/** What a round takes on an entry, in milliseconds. */
	private static final long ROUND_MILLIS = 25;

	/** By when work has to be under way again, in milliseconds. */
	private static final long RECOVERY_MILLIS = 12_000;

	private static final long TO_THE_END_MILLIS = 120_000;

	private static final int JOBS = 110;

	@ParameterizedTest
	@CsvSource({ "6, 24", "15, 80" })
	void aSlowHolderKeepsItsTermAndEveryJobEnds(int entries, int targets) {
		FleetWorld world = new FleetWorld(3, entries, targets);
		world.entriesPlaceSlowly(ROUND_MILLIS);
		world.runFor(3_000);
		List<Workflow> jobs = submitSome(world);
		world.runFor(4_000);
		world.entries().forEach(FleetWorld.EntryProcess::kill);
		world.targets().forEach(FleetWorld.TargetProcess::kill);
		world.targets().forEach((target) -> target.worker().crash());
		long startsBefore = world.checker().starts();
		world.runFor(2_000);
		long epoch = world.epoch();
		world.runFor(RECOVERY_MILLIS - 2_000);
		assertThat(world.checker().starts()).as("starts").isGreaterThan(startsBefore);
		assertThat(world.epoch()).as("epoch").isEqualTo(epoch);
		world.runFor(TO_THE_END_MILLIS);
		for (int round = 0; round < 3; round++) {
			jobs.forEach((job) -> world.ask(job.id()));
			world.runFor(3_000);
		}
		assertThat(world.checker().broken()).isEmpty();
		for (String job : world.accepted()) {
			assertThat(world.seen().get(job)).as(job).isNotNull().matches(JobPhase::isTerminal);
		}
	}

	private static List<Workflow> submitSome(FleetWorld world) {
		List<Workflow> jobs = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			Workflow job = job(world, i);
			jobs.add(job);
			world.submit(job, 2_000 + world.random().nextInt(8_000), false);
		}
		return jobs;
	}

	private static Workflow job(FleetWorld world, int number) {
		Random random = world.random();
		boolean gang = random.nextBoolean();
		ResourceAmount demand = new ResourceAmount(4_000, 8_000, 1 + random.nextInt(gang ? 4 : 1));
		Step step = new Step(1 + random.nextInt(8), demand, 5_000, List.of(), !gang, gang, Step.Placement.ANYWHERE,
				false, Step.ServiceSpec.NONE);
		return new Workflow(String.format("%016x", number + 1), "q" + random.nextInt(3), "one", "program",
				List.of(step), Workflow.Schedule.ONCE, world.time().now());
	}

}
