package org.almondmount.workflow;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Preemption for a guaranteed gang that is slow across racks, on a full fleet.
 */
class GuaranteedGangTests extends SchedulerFixture {

	// One rack is occupied by a gang that has run for a long time without checkpoints; in
	// each of two other racks a run has just started on one worker. Preempting the first
	// rack for the gang of two would lose ten times the work of that gang.
	@Test
	void doesNotPreemptARackWhoseWorkCostsManyTimesItsOwn() {
		beginTermInFirstRack(2);
		List<WorkflowCommand.StartRun> large = startsAfterAccepting(job("large", 1, sameRackGang(2, 8, 60_000, 0)));
		assertThat(large).extracting(WorkflowCommand.StartRun::target).containsExactlyInAnyOrder("t0", "t1");
		reportRunningInFirstRack(large, 0);
		this.now += 50_000;
		reportIdle(2, 1);
		reportIdle(3, 2);
		startsAfterAccepting(job("small", 2, estimatedStep(2, 8, 20_000)))
			.forEach((start) -> reportRunningInOwnRack(start, 0));
		reportRunningInFirstRack(large, 80);
		Workflow guaranteed = jobOf("other", "urgent", 0, sameRackGang(2, 4, 2_000, 1));
		List<WorkflowCommand> commands = feed(new WorkflowEvent.JobAccepted(guaranteed));
		assertThat(stops(commands)).isNotEmpty().allMatch((stop) -> stop.task().job().equals("small"));
	}

	@Test
	void startsAcrossRacksOnceCapacityIsFree() {
		doesNotPreemptARackWhoseWorkCostsManyTimesItsOwn();
		List<WorkflowCommand.StopRun> stops = stops(this.commands);
		this.commands.clear();
		for (WorkflowCommand.StopRun stop : stops) {
			feed(new WorkflowEvent.RunRefused(stop.target(), stop.task(), stop.run(), "stopped before it began"));
		}
		this.now += 500;
		reportIdle(2, 1);
		reportIdle(3, 2);
		assertThat(startsAfterPersisting(this.commands)).filteredOn((start) -> start.task().job().equals("urgent"))
			.extracting(WorkflowCommand.StartRun::target)
			.containsExactlyInAnyOrder("t2", "t3");
	}

	// Guards against guaranteed work that waits for ever for the place that was freed for
	// it: the worker has shrunk meanwhile, and runs on another one could give way.
	@Test
	void roomIsFreedElsewhereOnceTheChosenWorkerIsTooSmall() {
		beginTerm(2);
		List<WorkflowCommand.StartRun> borrowers = startsAfterAccepting(job("less", 2, estimatedStep(2, 8, 60_000)));
		borrowers.forEach(this::reportRunning);
		this.now += 2_000;
		WorkflowCommand.StopRun victim = stops(
				feed(new WorkflowEvent.JobAccepted(jobOf("other", "urgent", 0, estimatedStep(1, 8, 2_000)))))
			.get(0);
		startsAfterPersisting(this.commands);
		this.now += 500;
		shrink(Integer.parseInt(victim.target().substring(1)), 4);
		feed(new WorkflowEvent.RunRefused(victim.target(), victim.task(), victim.run(), "stopped"));
		borrowers.stream().filter((start) -> !start.target().equals(victim.target())).forEach(this::reportRunning);
		this.now += 500;
		feed(new WorkflowEvent.Tick());
		assertThat(stops(this.commands)).extracting(WorkflowCommand.StopRun::target)
			.hasSize(2)
			.last()
			.isNotEqualTo(victim.target());
	}

	private void shrink(int worker, long accelerators) {
		WorkerDescription description = new WorkerDescription(new WorkerIncarnation("w" + worker, 1), "pool", "z",
				Set.of("r1-1"), amount(accelerators), false, 0);
		feed(new WorkflowEvent.WorkerReported(new WorkerReport("t" + worker, description, 1, List.of(), List.of())));
	}

	private void beginTermInFirstRack(int workers) {
		feed(new WorkflowEvent.TermBegan(1, List.of()));
		this.now += 2_000;
		for (int worker = 0; worker < workers; worker++) {
			reportIdle(worker, 0);
		}
	}

	private void reportIdle(int worker, int rack) {
		feed(workerReported(worker, rack, List.of()));
	}

	private void reportRunningInOwnRack(WorkflowCommand.StartRun start, int percent) {
		int worker = Integer.parseInt(start.target().substring(1));
		feed(workerReported(worker, worker - 1,
				List.of(new WorkerReport.Running(start.task(), start.run(), "", percent))));
	}

	private void reportRunningInFirstRack(List<WorkflowCommand.StartRun> starts, int percent) {
		for (WorkflowCommand.StartRun start : starts) {
			int worker = Integer.parseInt(start.target().substring(1));
			feed(workerReported(worker, 0, List.of(new WorkerReport.Running(start.task(), start.run(), "", percent))));
		}
	}

	private static WorkflowEvent workerReported(int worker, int rack, List<WorkerReport.Running> running) {
		WorkerDescription description = new WorkerDescription(new WorkerIncarnation("w" + worker, 1), "pool", "z",
				Set.of("r1-" + rack), CAPACITY, false, 0);
		return new WorkflowEvent.WorkerReported(new WorkerReport("t" + worker, description, 1, running, List.of()));
	}

	private static Step sameRackGang(int count, long accelerators, long estimateMillis, int maxPerWorker) {
		return new Step(count, amount(accelerators), estimateMillis, List.of(), false, true,
				new Step.Placement("", "", true, maxPerWorker), false, Step.ServiceSpec.NONE);
	}

	private static Step estimatedStep(int count, long accelerators, long estimateMillis) {
		return new Step(count, amount(accelerators), estimateMillis, List.of(), false, false, Step.Placement.ANYWHERE,
				false, Step.ServiceSpec.NONE);
	}

}
