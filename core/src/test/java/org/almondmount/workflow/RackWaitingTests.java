package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gangs that are slow across racks, in a fleet of four racks with two workers each.
 */
class RackWaitingTests extends SchedulerFixture {

	private static final int WORKERS_PER_RACK = 2;

	private static final int RACKS = 4;

	private static final long RUN_MILLIS = 10_000;

	private static final int COMPLETE_PERCENT = 100;

	private final Map<Integer, List<WorkerReport.Running>> running = new LinkedHashMap<>();

	// Guards against a gang that waits for ever: each rack is held by a task that has no
	// end, and other capacity is idle.
	@Test
	void aGangDoesNotWaitForARackThatIsHeldByRunsWithoutAnEnd() {
		beginTermWithRacks();
		for (int rack = 0; rack < RACKS; rack++) {
			startNear(rack, service(1));
		}
		assertThat(startsAfterAccepting(job("gang", 1, gang(8)))).hasSize(2);
	}

	@Test
	void aGangWaitsForARackThatIsFreeSoon() {
		beginTermWithRacks();
		for (int rack = 0; rack < RACKS; rack++) {
			startNear(rack, task(8, RUN_MILLIS));
		}
		assertThat(startsAfterAccepting(job("gang", 1, gang(8)))).isEmpty();
		this.running.get(0).clear();
		List<WorkflowCommand> commands = new ArrayList<>(
				feed(report(0, List.of(new WorkerReport.Ended(1, firstTask("rack0"), 1, RunOutcome.DONE, "")))));
		assertThat(startsAfterPersisting(commands)).extracting(WorkflowCommand.StartRun::target)
			.containsExactlyInAnyOrder("t0", "t1");
	}

	// Guards against a gang that waits for longer than it gains: the racks are held for
	// three times its run time.
	@Test
	void aGangDoesNotWaitForARackThatIsFreeTooLate() {
		beginTermWithRacks();
		for (int rack = 0; rack < RACKS; rack++) {
			startNear(rack, task(8, 3 * RUN_MILLIS));
		}
		assertThat(startsAfterAccepting(job("gang", 1, gang(8)))).hasSize(2);
	}

	// Guards against a gang that waits for ever because the runs in its way never end
	// when
	// they are expected to.
	@Test
	void aGangWaitsNoLongerThanOneRackCanSave() {
		beginTermWithRacks();
		for (int rack = 0; rack < RACKS; rack++) {
			startNear(rack, task(8, RUN_MILLIS));
		}
		assertThat(startsAfterAccepting(job("gang", 1, gang(8)))).isEmpty();
		assertThat(startsWithin(2 * RUN_MILLIS - 1_000)).isEmpty();
		assertThat(startsWithin(2_000)).hasSize(2);
	}

	// Guards against a gang that waits beside an idle fleet: a small task in each rack is
	// enough to keep it from starting.
	@Test
	void aGangDoesNotWaitForLongWhileMostOfTheFleetIsIdle() {
		beginTermWithRacks();
		for (int rack = 0; rack < RACKS; rack++) {
			startNear(rack, task(1, 1_500));
		}
		assertThat(startsAfterAccepting(job("gang", 1, gang(8)))).isEmpty();
		assertThat(startsWithin(3_000)).hasSize(2);
	}

	// Guards against workers that are kept idle for a gang that no run makes room for:
	// the services in its way have no end.
	@Test
	void noCapacityIsReservedForTheEndOfAService() {
		beginTermWithRacks();
		for (int rack = 0; rack < RACKS; rack++) {
			startNear(rack, service(8));
		}
		assertThat(startsAfterAccepting(job("wide", 1, gangStep(RACKS * WORKERS_PER_RACK, 8)))).isEmpty();
		assertThat(startsAfterAccepting(job("small", 2, task(1, 2 * RUN_MILLIS)))).hasSize(1);
	}

	private void beginTermWithRacks() {
		beginTerm(0);
		for (int worker = 0; worker < RACKS * WORKERS_PER_RACK; worker++) {
			this.running.put(worker, new ArrayList<>());
			feed(report(worker, List.of()));
		}
	}

	private void startNear(int rack, Step step) {
		for (WorkflowCommand.StartRun start : startsAfterAccepting(job("rack" + rack, 2, near(rack, step)))) {
			int worker = Integer.parseInt(start.target().substring(1));
			assertThat(worker / WORKERS_PER_RACK).isEqualTo(rack);
			this.running.get(worker).add(new WorkerReport.Running(start.task(), start.run(), "", 0));
			feed(report(worker, List.of()));
		}
	}

	private List<WorkflowCommand.StartRun> startsWithin(long millis) {
		List<WorkflowCommand.StartRun> starts = new ArrayList<>();
		for (long until = this.now + millis; this.now < until;) {
			this.now += 500;
			this.running.keySet().forEach((worker) -> starts.addAll(startsAfterPersisting(feed(complete(worker)))));
		}
		return starts;
	}

	// All runs are complete and do not end, so each rack is always expected to be free at
	// once.
	private WorkflowEvent complete(int worker) {
		this.running.get(worker)
			.replaceAll((run) -> new WorkerReport.Running(run.task(), run.run(), "", COMPLETE_PERCENT));
		return report(worker, List.of());
	}

	private WorkflowEvent report(int worker, List<WorkerReport.Ended> ended) {
		WorkerDescription description = new WorkerDescription(new WorkerIncarnation("w" + worker, 1), "pool", "z",
				Set.of("r1-" + worker / WORKERS_PER_RACK), CAPACITY, false, 0);
		return new WorkflowEvent.WorkerReported(
				new WorkerReport("t" + worker, description, 1, this.running.get(worker), ended));
	}

	private static TaskId firstTask(String job) {
		return new TaskId(job, 0, 0, 0);
	}

	private static Step near(int rack, Step step) {
		return new Step(step.taskCount(), step.demand(), step.estimateMillis(), List.of(), false, false,
				new Step.Placement("", "r1-" + rack, false, 0), false, step.service());
	}

	private static Step task(long accelerators, long estimateMillis) {
		return new Step(1, amount(accelerators), estimateMillis, List.of(), false, false, Step.Placement.ANYWHERE,
				false, Step.ServiceSpec.NONE);
	}

	private static Step service(long accelerators) {
		return new Step(1, amount(accelerators), 0, List.of(), false, false, Step.Placement.ANYWHERE, false,
				new Step.ServiceSpec(true, "image", 0, false, 1));
	}

	private static Step gang(long accelerators) {
		return new Step(2, amount(accelerators), RUN_MILLIS, List.of(), false, true,
				new Step.Placement("", "", true, 0), false, Step.ServiceSpec.NONE);
	}

}
