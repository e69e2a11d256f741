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

	private static final long STARTUP_MILLIS = 3_000;

	/** Time by which the scheduler has detected that a task crashes its workers. */
	private static final long MAX_DETECTION_MILLIS = 40_000;

	// Guards against a task that crashes one worker after the other without end.
	@ParameterizedTest
	@ValueSource(longs = { 10, 700, 4_000 })
	void aJobWhoseTaskCrashesItsWorkersFails(long afterMillis) {
		FleetSimulation simulation = startSimulation(5);
		Workflow job = simulation.smallJob("00000000000000c1");
		simulation.submitCrashing(job, afterMillis);
		requireFailed(simulation, job);
	}

	// Guards against an answer that reports the failure of a job without its reason.
	@Test
	void everyEntryReportsWhichWorkersCrashedUnderAJob() {
		FleetSimulation simulation = startSimulation(5);
		Workflow job = simulation.smallJob("00000000000000c4");
		simulation.submitCrashing(job, 10);
		simulation.runFor(MAX_DETECTION_MILLIS);
		for (FleetSimulation.EntryProcess entry : simulation.entries()) {
			CompletableFuture<JobAnswer> answer = entry.phase(job.id());
			simulation.runFor(1_000);
			assertThat(answer.join()).asString()
				.contains("FAILED", "workers crashed under task " + job.id(), "worker-");
		}
	}

	// Guards against crashes that are no longer counted after a change of the holder.
	@Test
	void crashesAreCountedAcrossHolders() {
		FleetSimulation simulation = startSimulation(6);
		Workflow job = simulation.smallJob("00000000000000c2");
		simulation.submitCrashing(job, 10);
		for (int crashes = 0; crashes < 8; crashes++) {
			simulation.runFor(3_400);
			simulation.holder().kill();
		}
		requireFailed(simulation, job);
	}

	// Guards against a gang that crashes its workers without end.
	@Test
	void aGangThatCrashesItsWorkersFails() {
		FleetSimulation simulation = startSimulation(7);
		Workflow job = gangJob(simulation, "00000000000000c3");
		simulation.submitCrashing(job, 10);
		requireFailed(simulation, job);
	}

	private static Workflow gangJob(FleetSimulation simulation, String id) {
		Step step = new Step(4, new ResourceAmount(4_000, 4_000, 4), 1_000, List.of(), false, true,
				Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
		return new Workflow(id, "q1", "one", "p", List.of(step), Workflow.Schedule.ONCE, simulation.clock().now());
	}

	private static FleetSimulation startSimulation(long seed) {
		FleetSimulation simulation = new FleetSimulation(seed, 3, 11);
		simulation.runFor(STARTUP_MILLIS);
		return simulation;
	}

	private static void requireFailed(FleetSimulation simulation, Workflow job) {
		simulation.runFor(MAX_DETECTION_MILLIS);
		RandomTroubleTests.queryAll(simulation, List.of(job));
		assertThat(simulation.checker().violations()).isEmpty();
		assertThat(simulation.observedPhases().get(job.id())).isEqualTo(JobPhase.FAILED);
	}

}
