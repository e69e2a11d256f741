package org.almondmount.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Processes that end for any reason and are restarted.
 */
class ProcessRestartTests {

	private static final int JOB_COUNT = 5;

	private static final long RUN_MILLIS = 3_000;

	/** Longer than a run, a repeated command and the start of a process together. */
	private static final long MAX_COMPLETION_MILLIS = 6_000;

	private final FleetSimulation simulation = new FleetSimulation(3, 3, JOB_COUNT);

	static LongStream killDelaysDuringRun() {
		return LongStream.iterate(0, (millis) -> millis <= RUN_MILLIS + 500, (millis) -> millis + 50);
	}

	static LongStream killDelaysDuringSubmission() {
		return LongStream.rangeClosed(0, 30);
	}

	// Guards against work that is started again, or never ends, because the targets of
	// its workers ended.
	@ParameterizedTest
	@MethodSource("killDelaysDuringRun")
	void runsSurviveARestartOfTheirTargets(long afterHandIn) {
		List<Workflow> jobs = submitJobs();
		this.simulation.runFor(afterHandIn);
		this.simulation.targets().forEach(FleetSimulation.TargetProcess::kill);
		requireCompletedInTime(jobs);
	}

	// Guards against work that is started again, or never ends, because the holder ended.
	@ParameterizedTest
	@MethodSource("killDelaysDuringRun")
	void runsSurviveTheLossOfTheHolder(long afterHandIn) {
		List<Workflow> jobs = submitJobs();
		this.simulation.runFor(afterHandIn);
		this.simulation.holder().kill();
		requireCompletedInTime(jobs);
	}

	// Guards against a job that is lost, or runs twice, because the entry that received
	// it ended before it answered.
	@ParameterizedTest
	@MethodSource("killDelaysDuringSubmission")
	void aJobWhoseEntryEndsIsAcceptedOnceByAnother(long afterHandIn) {
		this.simulation.runFor(3_000);
		FleetSimulation.EntryProcess first = this.simulation.entries().get(0);
		FleetSimulation.EntryProcess second = this.simulation.entries().get(1);
		Workflow job = this.simulation.smallJob("00000000000000aa");
		this.simulation.checker().registerJob(job, RUN_MILLIS, false);
		first.submit(job);
		this.simulation.runFor(afterHandIn);
		first.kill();
		second.submit(job);
		requireCompletedInTime(List.of(job));
	}

	private List<Workflow> submitJobs() {
		this.simulation.runFor(3_000);
		List<Workflow> jobs = new ArrayList<>();
		for (int number = 0; number < JOB_COUNT; number++) {
			Workflow job = this.simulation.smallJob(String.format("%016x", number + 1));
			jobs.add(job);
			this.simulation.submit(job, RUN_MILLIS, false);
		}
		this.simulation.runFor(10);
		assertThat(this.simulation.acceptedJobs()).hasSize(JOB_COUNT);
		return jobs;
	}

	private void requireCompletedInTime(List<Workflow> jobs) {
		this.simulation.runFor(MAX_COMPLETION_MILLIS);
		jobs.forEach((job) -> this.simulation.queryPhase(job.id()));
		this.simulation.runFor(100);
		assertThat(this.simulation.checker().violations()).isEmpty();
		assertThat(this.simulation.checker().startCount()).isEqualTo(jobs.size());
		assertThat(this.simulation.observedPhases()).hasSize(jobs.size());
		assertThat(this.simulation.observedPhases().values()).containsOnly(JobPhase.COMPLETED);
	}

}
