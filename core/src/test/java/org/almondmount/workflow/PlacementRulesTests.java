package org.almondmount.workflow;

import java.util.List;

import org.almondmount.workflow.Step.Placement;
import org.almondmount.workflow.Step.ServiceSpec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Placement constraints and preferences of tasks, and the requirements of long-running
 * steps. Some tests use three workers in two racks, of which the third has another kind.
 */
class PlacementRulesTests extends SchedulerFixture {

	@Test
	void taskRunsOnlyOnWorkersWithItsLabel() {
		reportThreeWorkers();
		assertThat(startsAfterAccepting(job("a", 2, stepWithPlacement(2, 8, false, new Placement("b", "", false, 0)))))
			.extracting(WorkflowCommand.StartRun::target)
			.containsExactly("t2");
	}

	@Test
	void taskIsPlacedNearItsDataWhileCapacityIsFree() {
		reportThreeWorkers();
		assertThat(
				startsAfterAccepting(job("a", 2, stepWithPlacement(2, 8, false, new Placement("", "r1-2", false, 0)))))
			.extracting(WorkflowCommand.StartRun::target)
			.first()
			.isEqualTo("t2");
	}

	@Test
	void tasksThatMustBeSpreadDoNotShareAWorker() {
		reportThreeWorkers();
		assertThat(startsAfterAccepting(job("a", 2, stepWithPlacement(4, 1, false, new Placement("", "", false, 1)))))
			.extracting(WorkflowCommand.StartRun::target)
			.containsExactlyInAnyOrder("t0", "t1", "t2");
	}

	// Across two racks the gang would take three times as long and occupy its
	// accelerators all the time, so it waits until one rack has enough capacity.
	@Test
	void gangThatIsFasterInOneRackWaitsForOne() {
		reportThreeWorkers();
		WorkflowCommand.StartRun first = startsAfterAccepting(job("first", 1, step(1, 8))).get(0);
		reportRunning(first);
		Step gang = stepWithPlacement(2, 8, true, new Placement("", "", true, 0));
		List<WorkflowCommand.StartRun> starts = startsAfterAccepting(job("gang", 1, gang));
		boolean rackIsFree = first.target().equals("t2");
		assertThat(starts).hasSize(rackIsFree ? 2 : 0);
		assertThat(starts).extracting(WorkflowCommand.StartRun::target).doesNotContain("t2");
	}

	// Tasks of a long-running step run until the job is cancelled, and are restarted
	// however often they end.
	@Test
	void longRunningTaskIsRestartedHoweverItEnds() {
		beginTerm(1);
		WorkflowCommand.StartRun start = startsAfterAccepting(job("a", 2, longRunningStep(1, 1, 0, 0, false))).get(0);
		for (RunOutcome outcome : List.of(RunOutcome.DONE, RunOutcome.FAILED, RunOutcome.FAILED, RunOutcome.FAILED,
				RunOutcome.STOPPED)) {
			this.now += 5_000;
			reportIdle(0, false);
			List<WorkflowCommand.StartRun> again = startsAfterPersisting(reportEnd(start, outcome));
			this.now += 3_000;
			reportIdle(0, false);
			again.addAll(startsAfterPersisting(feed(new WorkflowEvent.Tick())));
			int next = start.run() + 1;
			assertThat(again).as("after it ended %s", outcome)
				.isNotEmpty()
				.allMatch((repeated) -> repeated.run() == next);
			start = again.get(0);
		}
		assertThat(phase("a")).contains(JobPhase.RUNNING);
	}

	// The users of the service would notice unavailable tasks, so work without such a
	// limit is preempted instead.
	@Test
	void taskWithAnUnavailabilityLimitIsNotPreempted() {
		beginTerm(1);
		startsAfterAccepting(job("serves", 2, longRunningStep(1, 4, 100, 1, false))).forEach(this::reportRunning);
		startsAfterAccepting(job("less", 2, step(1, 4))).forEach(this::reportRunning);
		List<WorkflowCommand> urgent = feed(new WorkflowEvent.JobAccepted(job("urgent", 0, step(1, 4))));
		assertThat(urgent).filteredOn(WorkflowCommand.StopRun.class::isInstance)
			.extracting((stop) -> ((WorkflowCommand.StopRun) stop).task().job())
			.containsExactly("less");
	}

	@Test
	void idleCpuTasksReserveNoCpu() {
		beginTerm(1);
		Step idleCpuStep = new Step(3, new ResourceAmount(100_000, 1_000, 1), 1_000, List.of(), false, false,
				Placement.ANYWHERE, false, new ServiceSpec(false, "", 0, true, 0));
		assertThat(startsAfterAccepting(job("fills", 2, idleCpuStep))).hasSize(3);
	}

	// A task that uses idle CPU time would increase the response times of a task on the
	// same worker by an amount that is not known in advance.
	@Test
	void idleCpuTasksDoNotShareAWorkerWithLatencyBoundTasks() {
		beginTerm(2);
		WorkflowCommand.StartRun serves = startsAfterAccepting(job("serves", 2, longRunningStep(1, 1, 100, 0, false)))
			.get(0);
		reportRunning(serves);
		List<WorkflowCommand.StartRun> fills = startsAfterAccepting(job("fills", 2, longRunningStep(3, 1, 0, 0, true)));
		assertThat(fills).hasSize(3).noneMatch((start) -> start.target().equals(serves.target()));
		assertThat(startsAfterAccepting(job("more", 2, longRunningStep(1, 1, 100, 0, false))))
			.allMatch((start) -> start.target().equals(serves.target()));
	}

	private void reportThreeWorkers() {
		beginTerm(0);
		reportIdle(0, "a", "r1-1");
		reportIdle(1, "a", "r1-1");
		reportIdle(2, "b", "r1-2");
	}

	private static Step stepWithPlacement(int count, long accelerators, boolean gang, Placement placement) {
		return new Step(count, amount(accelerators), 10_000, List.of(), false, gang, placement, false,
				ServiceSpec.NONE);
	}

	private static Step longRunningStep(int count, long accelerators, long latencyTargetMillis, int maxUnavailable,
			boolean idleCpuOnly) {
		return new Step(count, amount(accelerators), 0, List.of(), false, false, Placement.ANYWHERE, false,
				new ServiceSpec(true, "image", latencyTargetMillis, idleCpuOnly, maxUnavailable));
	}

	// A gang as wide as the fleet waits for one long run. Reserving the fleet for it
	// would leave three of four workers idle all that time, and a small job would not
	// start although the free capacity is many times what it needs.
	@Test
	void noCapacityIsReservedForAGangWhileMostOfTheFleetIsIdle() {
		beginTerm(4);
		startsAfterAccepting(job("long", 2, step(1, 8))).forEach(this::reportRunning);
		assertThat(startsAfterAccepting(job("wide", 1, gangStep(4, 8)))).isEmpty();
		assertThat(startsAfterAccepting(job("small", 2, step(8, 1)))).hasSize(8);
	}

	@Test
	void capacityIsReservedForAGangOnceHalfOfTheFleetIsBusy() {
		beginTerm(4);
		startsAfterAccepting(job("long", 2, step(3, 8))).forEach(this::reportRunning);
		assertThat(startsAfterAccepting(job("wide", 1, gangStep(4, 8)))).isEmpty();
		assertThat(startsAfterAccepting(job("small", 2, step(8, 1)))).isEmpty();
	}

}
