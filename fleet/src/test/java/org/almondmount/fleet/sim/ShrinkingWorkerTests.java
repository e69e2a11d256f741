package org.almondmount.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Workers whose capacity shrinks and grows again while they run.
 */
class ShrinkingWorkerTests {

	private static final int SEEDS = Integer.getInteger("almondmount.seeds", 30);

	/** Seeds that have started a task on capacity that was no longer there. */
	private static final long[] REGRESSION_SEEDS = { 142, 235, 251, 436 };

	private static final long RUN_MILLIS = 6_000;

	private static final long PHASE_MILLIS = 40_000;

	static LongStream seeds() {
		return LongStream.concat(LongStream.of(REGRESSION_SEEDS), LongStream.rangeClosed(1, SEEDS)).distinct();
	}

	// Guards against a start that fits only the former capacity of its worker.
	@ParameterizedTest
	@MethodSource("seeds")
	void aShrunkWorkerIsNotFilledBeyondItsCapacity(long seed) {
		FleetSimulation simulation = new FleetSimulation(seed, 3, 5);
		simulation.runFor(3_000);
		List<Workflow> jobs = new ArrayList<>();
		long until = simulation.clock().now() + PHASE_MILLIS;
		while (simulation.clock().now() < until) {
			Workflow job = simulation.smallJob(String.format("%016x", simulation.random().nextLong()));
			jobs.add(job);
			simulation.submit(job, RUN_MILLIS, false);
			resizeRandomWorker(simulation);
			injectDelay(simulation);
			simulation.runFor(100 + simulation.random().nextInt(300));
		}
		simulation.targets().forEach((target) -> target.worker().resize(FleetSimulation.WORKER_CAPACITY));
		simulation.runFor(PHASE_MILLIS);
		RandomTroubleTests.queryAll(simulation, jobs);
		assertThat(simulation.checker().violations()).isEmpty();
		for (String job : simulation.acceptedJobs()) {
			assertThat(simulation.observedPhases().get(job)).as(job).isEqualTo(JobPhase.COMPLETED);
		}
	}

	private static void resizeRandomWorker(FleetSimulation simulation) {
		if (simulation.random().nextInt(4) != 0) {
			return;
		}
		SimWorker worker = simulation.targets().get(simulation.random().nextInt(simulation.targets().size())).worker();
		long accelerators = simulation.random().nextInt(9);
		worker.resize(new ResourceAmount(32_000, 128_000, accelerators));
	}

	// A transaction and a command lie between the choice of a worker and the start.
	private static void injectDelay(FleetSimulation simulation) {
		FleetSimulation.TargetProcess target = simulation.targets()
			.get(simulation.random().nextInt(simulation.targets().size()));
		long millis = simulation.random().nextInt(6_000);
		switch (simulation.random().nextInt(40)) {
			case 0, 1 -> target.cutFromNetwork(millis);
			case 2, 3 -> target.pause(millis);
			case 4, 5 -> {
				simulation.store().slowDown(1_500);
				simulation.clock().scheduleAfter(millis, () -> simulation.store().slowDown(1));
			}
			default -> {
			}
		}
	}

}
