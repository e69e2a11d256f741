package org.almondmount.workflow;

import java.util.List;

import org.almondmount.workflow.Step.Placement;
import org.almondmount.workflow.Step.ServiceTerms;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Where tasks may and should run, and what steps that last ask for. Three workers stand
 * in two racks; the third is of another kind.
 */
class PlacementRulesTests extends SchedulerFixture {

	@Test
	void aTaskRunsOnlyWhereItsLabelIs() {
		threeWorkers();
		assertThat(startsOf(job("a", 2, placed(2, 8, false, new Placement("b", "", false, 0)))))
			.extracting(WorkflowCommand.StartRun::target)
			.containsExactly("t2");
	}

	@Test
	void aTaskGoesNearItsDataWhileThereIsRoom() {
		threeWorkers();
		assertThat(startsOf(job("a", 2, placed(2, 8, false, new Placement("", "r1-2", false, 0)))))
			.extracting(WorkflowCommand.StartRun::target)
			.first()
			.isEqualTo("t2");
	}

	@Test
	void tasksThatHaveToBeSpreadDoNotShareAWorker() {
		threeWorkers();
		assertThat(startsOf(job("a", 2, placed(4, 1, false, new Placement("", "", false, 1)))))
			.extracting(WorkflowCommand.StartRun::target)
			.containsExactlyInAnyOrder("t0", "t1", "t2");
	}

	// Spread over two racks the gang would take three times as long and hold its
	// accelerators all the while. So it waits until one rack has room.
	@Test
	void aGangThatIsFastInOneRackWaitsForOne() {
		threeWorkers();
		WorkflowCommand.StartRun first = startsOf(job("first", 1, step(1, 8))).get(0);
		run(first);
		Step gang = placed(2, 8, true, new Placement("", "", true, 0));
		List<WorkflowCommand.StartRun> starts = startsOf(job("gang", 1, gang));
		boolean rackIsFree = first.target().equals("t2");
		assertThat(starts).hasSize(rackIsFree ? 2 : 0);
		assertThat(starts).extracting(WorkflowCommand.StartRun::target).doesNotContain("t2");
	}

	// Its tasks run until the job is cancelled, and are restarted however often they end.
	@Test
	void aTaskThatLastsIsRestartedHoweverItEnds() {
		begin(1);
		WorkflowCommand.StartRun start = startsOf(job("a", 2, lasting(1, 1, 0, 0, false))).get(0);
		for (RunEnding how : List.of(RunEnding.DONE, RunEnding.FAILED, RunEnding.FAILED, RunEnding.FAILED,
				RunEnding.STOPPED)) {
			this.now += 5_000;
			report(0, false);
			List<WorkflowCommand.StartRun> again = keepAll(end(start, how));
			this.now += 3_000;
			report(0, false);
			again.addAll(keepAll(feed(new WorkflowEvent.Tick())));
			int next = start.run() + 1;
			assertThat(again).as("after it ended %s", how).isNotEmpty().allMatch((repeated) -> repeated.run() == next);
			start = again.get(0);
		}
		assertThat(phase("a")).contains(JobPhase.RUNNING);
	}

	// Its users would notice that tasks are away; what is less strict gives way instead.
	@Test
	void aTaskWhoseAbsenceIsCountedDoesNotGiveWay() {
		begin(1);
		startsOf(job("serves", 2, lasting(1, 4, 100, 1, false))).forEach(this::run);
		startsOf(job("less", 2, step(1, 4))).forEach(this::run);
		List<WorkflowCommand> urgent = feed(new WorkflowEvent.JobAccepted(job("urgent", 0, step(1, 4))));
		assertThat(urgent).filteredOn(WorkflowCommand.StopRun.class::isInstance)
			.extracting((stop) -> ((WorkflowCommand.StopRun) stop).task().job())
			.containsExactly("less");
	}

	@Test
	void whatFillsIdleTimeTakesNoProcessorAway() {
		begin(1);
		Step filling = new Step(3, new ResourceAmount(100_000, 1_000, 1), 1_000, List.of(), false, false,
				Placement.ANYWHERE, false, new ServiceTerms(false, "", 0, true, 0));
		assertThat(startsOf(job("fills", 2, filling))).hasSize(3);
	}

	// A task beside it would make its response times too long, by an amount that nobody
	// knows beforehand.
	@Test
	void whatFillsIdleTimeStaysAwayFromABoundOfResponseTimes() {
		begin(2);
		WorkflowCommand.StartRun serves = startsOf(job("serves", 2, lasting(1, 1, 100, 0, false))).get(0);
		run(serves);
		List<WorkflowCommand.StartRun> fills = startsOf(job("fills", 2, lasting(3, 1, 0, 0, true)));
		assertThat(fills).hasSize(3).noneMatch((start) -> start.target().equals(serves.target()));
		assertThat(startsOf(job("more", 2, lasting(1, 1, 100, 0, false))))
			.allMatch((start) -> start.target().equals(serves.target()));
	}

	private void threeWorkers() {
		begin(0);
		report(0, "a", "r1-1");
		report(1, "a", "r1-1");
		report(2, "b", "r1-2");
	}

	private static Step placed(int count, long accelerators, boolean gang, Placement placement) {
		return new Step(count, amount(accelerators), 10_000, List.of(), false, gang, placement, false,
				ServiceTerms.NONE);
	}

	private static Step lasting(int count, long accelerators, long latencyTarget, int mayMiss, boolean fills) {
		return new Step(count, amount(accelerators), 0, List.of(), false, false, Placement.ANYWHERE, false,
				new ServiceTerms(true, "image", latencyTarget, fills, mayMiss));
	}

	// A gang as wide as the fleet waits for one run that will take long. Kept for it,
	// three free workers of four would stand idle for as long, and the caller of a small
	// job would see nothing begin though there is room for it many times over.
	@Test
	void roomIsNotKeptForAGangWhileMostOfTheFleetStandsIdle() {
		begin(4);
		startsOf(job("long", 2, step(1, 8))).forEach(this::run);
		assertThat(startsOf(job("wide", 1, gang(4, 8)))).isEmpty();
		assertThat(startsOf(job("small", 2, step(8, 1)))).hasSize(8);
	}

	@Test
	void roomIsKeptForAGangOnceHalfOfTheFleetWorks() {
		begin(4);
		startsOf(job("long", 2, step(3, 8))).forEach(this::run);
		assertThat(startsOf(job("wide", 1, gang(4, 8)))).isEmpty();
		assertThat(startsOf(job("small", 2, step(8, 1)))).isEmpty();
	}

}
