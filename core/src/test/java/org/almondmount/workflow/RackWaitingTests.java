package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gangs and racks, in a fleet of four racks with two workers each.
 */
class RackWaitingTests extends SchedulerFixture {

	private static final int WORKERS_PER_RACK = 2;

	private static final int RACKS = 4;

	private static final long RUN_MILLIS = 10_000;

	private final Map<Integer, List<WorkerReport.Running>> running = new LinkedHashMap<>();

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

	private WorkflowEvent report(int worker, List<WorkerReport.Ended> ended) {
		WorkerDescription description = new WorkerDescription(new WorkerIncarnation("w" + worker, 1), "pool", "z",
				Set.of("r1-" + worker / WORKERS_PER_RACK), CAPACITY, false, 0);
		return new WorkflowEvent.WorkerReported(
				new WorkerReport("t" + worker, description, 1, this.running.get(worker), ended));
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

}
