package org.almondmount.workflow;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A guaranteed gang that is slow across racks finds the fleet full.
 */
class GuaranteedGangTests extends SchedulerFixture {

	// One rack is full of a gang that has run for long and saves nothing; on a worker of
	// each of two other racks something has just begun. The gang of two could have the
	// first rack, and the callers of ten times its work would wait for all of it anew.
	@Test
	void doesNotClearARackWhoseWorkIsWorthManyTimesItsOwn() {
		beginInRacks(2);
		List<WorkflowCommand.StartRun> large = startsOf(job("large", 1, wanting(2, 8, 60_000, 0)));
		assertThat(large).extracting(WorkflowCommand.StartRun::target).containsExactlyInAnyOrder("t0", "t1");
		runTogether(large, 0);
		this.now += 50_000;
		tell(2, 1);
		tell(3, 2);
		startsOf(job("small", 2, timed(2, 8, 20_000))).forEach((start) -> tellRunning(start, 0));
		runTogether(large, 80);
		Workflow guaranteed = jobOf("other", "urgent", 0, wanting(2, 4, 2_000, 1));
		List<WorkflowCommand> commands = feed(new WorkflowEvent.JobAccepted(guaranteed));
		assertThat(stops(commands)).isNotEmpty().allMatch((stop) -> stop.task().job().equals("small"));
	}

	@Test
	void startsAcrossRacksOnceTheRoomIsThere() {
		doesNotClearARackWhoseWorkIsWorthManyTimesItsOwn();
		List<WorkflowCommand.StopRun> stops = stops(this.commands);
		this.commands.clear();
		for (WorkflowCommand.StopRun stop : stops) {
			feed(new WorkflowEvent.RunRefused(stop.target(), stop.task(), stop.run(), "stopped before it began"));
		}
		this.now += 500;
		tell(2, 1);
		tell(3, 2);
		assertThat(keepAll(this.commands)).filteredOn((start) -> start.task().job().equals("urgent"))
			.extracting(WorkflowCommand.StartRun::target)
			.containsExactlyInAnyOrder("t2", "t3");
	}

	private void beginInRacks(int workers) {
		feed(new WorkflowEvent.TermBegan(1, List.of()));
		this.now += 2_000;
		for (int worker = 0; worker < workers; worker++) {
			tell(worker, 0);
		}
	}

	private void tell(int worker, int rack) {
		feed(told(worker, rack, List.of()));
	}

	private void tellRunning(WorkflowCommand.StartRun start, int percent) {
		int worker = Integer.parseInt(start.target().substring(1));
		feed(told(worker, worker - 1, List.of(new WorkerReport.Running(start.task(), start.run(), "", percent))));
	}

	private void runTogether(List<WorkflowCommand.StartRun> starts, int percent) {
		for (WorkflowCommand.StartRun start : starts) {
			int worker = Integer.parseInt(start.target().substring(1));
			feed(told(worker, 0, List.of(new WorkerReport.Running(start.task(), start.run(), "", percent))));
		}
	}

	private static WorkflowEvent told(int worker, int rack, List<WorkerReport.Running> running) {
		WorkerDescription said = new WorkerDescription(new WorkerLife("w" + worker, 1), "pool", "z",
				Set.of("r1-" + rack), CAPACITY, false, 0);
		return new WorkflowEvent.WorkerReported(new WorkerReport("t" + worker, said, 1, running, List.of()));
	}

	private static Step wanting(int count, long accelerators, long millis, int mostPerWorker) {
		return new Step(count, amount(accelerators), millis, List.of(), false, true,
				new Step.Placement("", "", true, mostPerWorker), false, Step.ServiceTerms.NONE);
	}

	private static Step timed(int count, long accelerators, long millis) {
		return new Step(count, amount(accelerators), millis, List.of(), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceTerms.NONE);
	}

}
