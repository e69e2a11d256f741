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
 * Power returns everywhere at once while a backlog waits and the machines of the entries
 * are so slow that a placement round takes much longer than any event.
 * <p>
 * Guards against an installation in which no accepted job runs: each worker reports
 * itself and each run that was not started to the new holder, the holder places after
 * each of these messages, the renewals of its term queue behind them, and the term ends.
 * The next holder stops the runs that its predecessor started, and loses its term in the
 * same way.
 */
class PowerRestorationTests {

	/** The duration of a placement round on an entry, in milliseconds. */
	private static final long PLACEMENT_ROUND_MILLIS = 25;

	/** The time by which work has to run again, in milliseconds. */
	private static final long MAX_RECOVERY_MILLIS = 12_000;

	private static final long COMPLETION_MILLIS = 120_000;

	private static final int JOB_COUNT = 110;

	@ParameterizedTest
	@CsvSource({ "6, 24", "15, 80" })
	void aSlowHolderKeepsItsTermAndEveryJobEnds(int entries, int targets) {
		FleetSimulation simulation = new FleetSimulation(3, entries, targets);
		simulation.setPlacementRoundMillis(PLACEMENT_ROUND_MILLIS);
		simulation.runFor(3_000);
		List<Workflow> jobs = submitJobs(simulation);
		simulation.runFor(4_000);
		simulation.entries().forEach(FleetSimulation.EntryProcess::kill);
		simulation.targets().forEach(FleetSimulation.TargetProcess::kill);
		simulation.targets().forEach((target) -> target.worker().crash());
		long startsBefore = simulation.checker().startCount();
		simulation.runFor(2_000);
		long epoch = simulation.epoch();
		simulation.runFor(MAX_RECOVERY_MILLIS - 2_000);
		assertThat(simulation.checker().startCount()).as("starts").isGreaterThan(startsBefore);
		assertThat(simulation.epoch()).as("epoch").isEqualTo(epoch);
		simulation.runFor(COMPLETION_MILLIS);
		for (int round = 0; round < 3; round++) {
			jobs.forEach((job) -> simulation.queryPhase(job.id()));
			simulation.runFor(3_000);
		}
		assertThat(simulation.checker().violations()).isEmpty();
		for (String job : simulation.acceptedJobs()) {
			assertThat(simulation.observedPhases().get(job)).as(job).isNotNull().matches(JobPhase::isTerminal);
		}
	}

	private static List<Workflow> submitJobs(FleetSimulation simulation) {
		List<Workflow> jobs = new ArrayList<>();
		for (int i = 0; i < JOB_COUNT; i++) {
			Workflow job = randomJob(simulation, i);
			jobs.add(job);
			simulation.submit(job, 2_000 + simulation.random().nextInt(8_000), false);
		}
		return jobs;
	}

	private static Workflow randomJob(FleetSimulation simulation, int number) {
		Random random = simulation.random();
		boolean gang = random.nextBoolean();
		ResourceAmount demand = new ResourceAmount(4_000, 8_000, 1 + random.nextInt(gang ? 4 : 1));
		Step step = new Step(1 + random.nextInt(8), demand, 5_000, List.of(), !gang, gang, Step.Placement.ANYWHERE,
				false, Step.ServiceSpec.NONE);
		return new Workflow(String.format("%016x", number + 1), "q" + random.nextInt(3), "one", "program",
				List.of(step), Workflow.Schedule.ONCE, simulation.clock().now());
	}

}
