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
 * Processes that end by themselves, whatever ends them, and are restarted.
 */
class EndedProcessTests {

	private static final int JOBS = 5;

	private static final long RUN_MILLIS = 3_000;

	/** More than a run, an order that is repeated and the start of a process. */
	private static final long ENDED_MILLIS = 6_000;

	private final FleetWorld world = new FleetWorld(3, 3, JOBS);

	static LongStream momentsOfARun() {
		return LongStream.iterate(0, (millis) -> millis <= RUN_MILLIS + 500, (millis) -> millis + 50);
	}

	static LongStream momentsOfAHandIn() {
		return LongStream.rangeClosed(0, 30);
	}

	// Guards against work that is begun anew, or never ends, because the processes beside
	// its workers ended.
	@ParameterizedTest
	@MethodSource("momentsOfARun")
	void runsOutliveTheProcessesBesideTheirWorkers(long afterHandIn) {
		List<Workflow> jobs = handIn();
		this.world.runFor(afterHandIn);
		this.world.targets().forEach(FleetWorld.TargetProcess::kill);
		requireEndedInTime(jobs);
	}

	// Guards against work that is begun anew, or never ends, because its holder ended.
	@ParameterizedTest
	@MethodSource("momentsOfARun")
	void runsOutliveTheHolder(long afterHandIn) {
		List<Workflow> jobs = handIn();
		this.world.runFor(afterHandIn);
		this.world.theHolder().kill();
		requireEndedInTime(jobs);
	}

	// Guards against a job that is lost, or runs twice, because the entry that took it
	// ended before it answered.
	@ParameterizedTest
	@MethodSource("momentsOfAHandIn")
	void aJobWhoseEntryEndsIsTakenOnceByAnother(long afterHandIn) {
		this.world.runFor(3_000);
		FleetWorld.EntryProcess first = this.world.entries().get(0);
		FleetWorld.EntryProcess second = this.world.entries().get(1);
		Workflow job = this.world.smallJob("00000000000000aa");
		this.world.checker().submit(job, RUN_MILLIS, false);
		first.submit(job);
		this.world.runFor(afterHandIn);
		first.kill();
		second.submit(job);
		requireEndedInTime(List.of(job));
	}

	private List<Workflow> handIn() {
		this.world.runFor(3_000);
		List<Workflow> jobs = new ArrayList<>();
		for (int number = 0; number < JOBS; number++) {
			Workflow job = this.world.smallJob(String.format("%016x", number + 1));
			jobs.add(job);
			this.world.submit(job, RUN_MILLIS, false);
		}
		this.world.runFor(10);
		assertThat(this.world.accepted()).hasSize(JOBS);
		return jobs;
	}

	private void requireEndedInTime(List<Workflow> jobs) {
		this.world.runFor(ENDED_MILLIS);
		jobs.forEach((job) -> this.world.ask(job.id()));
		this.world.runFor(100);
		assertThat(this.world.checker().broken()).isEmpty();
		assertThat(this.world.checker().starts()).isEqualTo(jobs.size());
		assertThat(this.world.seen()).hasSize(jobs.size());
		assertThat(this.world.seen().values()).containsOnly(JobPhase.COMPLETED);
	}

}
