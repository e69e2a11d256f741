package org.almondmount.fleet.sim;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tasks that crash each worker that starts them.
 */
class CrashingTaskTests {

	private static final long SETTLED_MILLIS = 3_000;

	/** By when a task that crashes its workers has shown what it is. */
	private static final long JUDGED_MILLIS = 40_000;

	// Guards against a task that takes one worker down after the other without end.
	@ParameterizedTest
	@ValueSource(longs = { 10, 700, 4_000 })
	void aTaskThatCrashesItsWorkersIsGivenUp(long afterMillis) {
		FleetWorld world = settled(5);
		Workflow job = world.smallJob("00000000000000c1");
		world.submitCrashing(job, afterMillis);
		requireGivenUp(world, job);
	}

	// Guards against a caller who is told that its job failed and not why.
	@Test
	void everyEntryTellsWhichWorkersCrashedUnderAJob() {
		FleetWorld world = settled(5);
		Workflow job = world.smallJob("00000000000000c4");
		world.submitCrashing(job, 10);
		world.runFor(JUDGED_MILLIS);
		for (FleetWorld.EntryProcess entry : world.entries()) {
			CompletableFuture<JobAnswer> answer = entry.phase(job.id());
			world.runFor(1_000);
			assertThat(answer.join()).asString()
				.contains("FAILED", "workers crashed under task " + job.id(), "worker-");
		}
	}

	// Guards against crashes that are forgotten when the holder changes.
	@Test
	void crashesAreRememberedByTheNextHolder() {
		FleetWorld world = settled(6);
		Workflow job = world.smallJob("00000000000000c2");
		world.submitCrashing(job, 10);
		for (int crashes = 0; crashes < 8; crashes++) {
			world.runFor(3_400);
			world.theHolder().kill();
		}
		requireGivenUp(world, job);
	}

	// Guards against a gang that takes its workers down without end.
	@Test
	void aGangThatCrashesItsWorkersIsGivenUp() {
		FleetWorld world = settled(7);
		Workflow job = gang(world, "00000000000000c3");
		world.submitCrashing(job, 10);
		requireGivenUp(world, job);
	}

	private static Workflow gang(FleetWorld world, String id) {
		Step step = new Step(4, new ResourceAmount(4_000, 4_000, 4), 1_000, List.of(), false, true,
				Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
		return new Workflow(id, "q1", "one", "p", List.of(step), Workflow.Schedule.ONCE, world.time().now());
	}

	private static FleetWorld settled(long seed) {
		FleetWorld world = new FleetWorld(seed, 3, 11);
		world.runFor(SETTLED_MILLIS);
		return world;
	}

	private static void requireGivenUp(FleetWorld world, Workflow job) {
		world.runFor(JUDGED_MILLIS);
		RandomTroubleTests.askAll(world, List.of(job));
		assertThat(world.checker().broken()).isEmpty();
		assertThat(world.seen().get(job.id())).isEqualTo(JobPhase.FAILED);
	}

}
