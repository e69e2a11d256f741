package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.almondmount.workflow.JobRecord.OpenRun;
import org.almondmount.workflow.JobRecord.StepKey;
import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.WorkflowEvent.KeptJob;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a new holder does with runs that an earlier one ordered.
 */
class InheritedRunsTests extends SchedulerFixture {

	private static final int RUN = 1;

	// Guards against runs that go on after their job is over because the holder that
	// ordered them to stop lost the term before the order arrived.
	@ParameterizedTest
	@EnumSource(names = { "CANCELLED", "FAILED" })
	void runsOfAJobThatIsOverAreStopped(JobPhase phase) {
		Workflow job = job("a", 2, step(2, 1));
		takeOver(job, phase, 0, 1);
		assertThat(stopsAfterReport(0, 1)).extracting((stop) -> stop.task().index()).containsOnly(0, 1);
	}

	// Guards against a run of a job that is over on a worker that is heard of late.
	@Test
	void theStopIsRepeatedOnceTheWorkerIsHeardOf() {
		Workflow job = job("a", 2, step(1, 1));
		takeOver(job, JobPhase.CANCELLED, 0);
		this.now += 5_000;
		feed(new WorkflowEvent.Tick());
		this.commands.clear();
		assertThat(stopsAfterReport(0)).isNotEmpty();
	}

	// Guards against jobs that fail because their new holder has not read yet how many
	// attempts their queue allows.
	@Test
	void aFailureBeforeTheQueueIsKnownIsJudgedOnceItIs() {
		Workflow job = new Workflow("a", "later", "c", "p", List.of(step(1, 1)), Workflow.Schedule.ONCE, this.now);
		takeOver(job, JobPhase.RUNNING, 0);
		endAndKeep(new WorkflowCommand.StartRun("t0", description(0, 1, false).life(), new TaskId("a", 0, 0, 0), RUN,
				"p", "", ResourceAmount.NONE), RunEnding.FAILED);
		assertThat(phase("a")).contains(JobPhase.RUNNING);
		keepAll(declareQueue("later", 1));
		assertThat(phase("a")).contains(JobPhase.FAILED);
	}

	// Guards against a task that is begun once more than its queue allows, because its
	// last failure was kept by a holder that did not know the queue.
	@Test
	void aJobWhoseKeptFailuresUseUpItsAttemptsIsNotBegunByTheNextHolder() {
		begin(1);
		Workflow job = job("a", 2, step(1, 1));
		TaskRecord failed = new TaskRecord(new StepKey(0, 0), 0, 2, 2, false, "", List.of());
		JobRecord kept = new JobRecord("a", JobPhase.RUNNING, List.of(), List.of(failed));
		this.commands.clear();
		keepAll(feed(new WorkflowEvent.TermBegan(2, List.of(new KeptJob(job, Optional.of(kept), false)))));
		keepAll(feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 1, false), 2, List.of(), List.of()))));
		assertThat(starts(this.commands)).isEmpty();
		assertThat(phase("a")).contains(JobPhase.FAILED);
	}

	// Guards against a task that is begun once more than a new configuration allows,
	// after its last run was lost.
	@Test
	void aTaskWithoutAttemptsLeftIsNotBegunAgainAfterItsRunIsLost() {
		begin(1);
		Workflow job = job("a", 2, step(1, 1));
		endAndKeep(startsOf(job).get(0), RunEnding.FAILED);
		this.now += 200;
		WorkflowCommand.StartRun second = keepAll(feed(new WorkflowEvent.Tick())).get(0);
		keepAll(declareQueue("q2", 1));
		this.commands.clear();
		keepAll(feed(new WorkflowEvent.RunRefused("t0", second.task(), second.run(), "gone")));
		this.now += 5_000;
		report(0, false);
		keepAll(feed(new WorkflowEvent.Tick()));
		assertThat(starts(this.commands)).isEmpty();
		assertThat(phase("a")).contains(JobPhase.FAILED);
	}

	// Guards against a crash that no holder counts, because another job names the later
	// life of the worker.
	@Test
	void aRunOfAFormerLifeIsLostWithItThoughALaterOneIsKnown() {
		begin(1);
		Workflow later = job("b", 2, step(1, 1));
		Workflow former = job("a", 2, step(1, 1));
		feed(new WorkflowEvent.TermBegan(2, List.of(new KeptJob(later, Optional.of(running("b", 2)), false),
				new KeptJob(former, Optional.of(running("a", 1)), false))));
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 2, false), 2, List.of(), List.of())));
		JobRecord kept = keepIn(feed(new WorkflowEvent.RunRefused("t0", new TaskId("a", 0, 0, 0), RUN, "gone")))
			.records()
			.stream()
			.filter((record) -> record.job().equals("a"))
			.findFirst()
			.orElseThrow();
		assertThat(kept.tasks().get(0).crashes()).extracting(JobRecord.Crash::life)
			.containsExactly(new WorkerLife("w0", 1));
	}

	// Guards against a crash that no holder counts, because the run was kept under the
	// worker's later life while it was being settled there.
	@Test
	void aRunIsKeptUnderTheLifeInWhichItMayHaveBegun() {
		begin(2);
		Workflow job = job("a", 2, step(2, 1));
		List<TaskRecord> tasks = new ArrayList<>();
		for (int index = 0; index < 2; index++) {
			OpenRun open = new OpenRun(RUN, "t" + index, description(index, 1, false).life(), 1);
			tasks.add(new TaskRecord(new StepKey(0, 0), index, RUN, 0, false, "", List.of(open)));
		}
		JobRecord record = new JobRecord("a", JobPhase.RUNNING, List.of(), tasks);
		feed(new WorkflowEvent.TermBegan(2, List.of(new KeptJob(job, Optional.of(record), false))));
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 2, false), 2, List.of(), List.of())));
		JobRecord kept = keepIn(feed(new WorkflowEvent.RunRefused("t1", new TaskId("a", 0, 0, 1), RUN, "gone")))
			.records()
			.get(0);
		assertThat(kept.tasks()).filteredOn((task) -> task.index() == 0)
			.flatExtracting(TaskRecord::openRuns)
			.extracting(OpenRun::life)
			.containsExactly(new WorkerLife("w0", 1));
	}

	// Guards against a run that is stopped because a new configuration allows fewer
	// attempts than it took to begin it.
	@Test
	void aRunThatWasBegunWithinItsAttemptsMayEnd() {
		begin(1);
		Workflow job = job("a", 2, step(1, 1));
		endAndKeep(startsOf(job).get(0), RunEnding.FAILED);
		this.now += 200;
		assertThat(keepAll(feed(new WorkflowEvent.Tick()))).hasSize(1);
		keepAll(declareQueue("q2", 1));
		assertThat(phase("a")).contains(JobPhase.RUNNING);
	}

	@Test
	void runsOfAJobThatIsNotOverGoOn() {
		Workflow job = job("a", 2, step(2, 1));
		takeOver(job, JobPhase.RUNNING, 0, 1);
		assertThat(stopsAfterReport(0, 1)).isEmpty();
	}

	// Guards against members that hold their room for a gang that is never whole again.
	@Test
	void theRestOfAGangThatLostAMemberIsStopped() {
		Workflow job = job("a", 2, gang(2, 1));
		takeOver(job, JobPhase.RUNNING, 0);
		assertThat(stopsAfterReport(0)).extracting((stop) -> stop.task().index()).containsOnly(0);
	}

	// Guards against a member that is stopped, and counts as lost, though its gang is
	// done.
	@Test
	void theRestOfAGangThatIsDoneIsLeftToEnd() {
		Workflow job = job("a", 2, gang(2, 1));
		takeOver(job, JobPhase.COMPLETED, 0);
		assertThat(stopsAfterReport(0)).isEmpty();
	}

	// Guards against a gang that fails too early because members of one run are counted
	// under two holders.
	@Test
	void aFailedRunOfAGangCountsOnceUnderTwoHolders() {
		begin(1);
		Workflow job = job("a", 2, gang(2, 1));
		List<WorkflowCommand.StartRun> members = startsOf(job);
		JobRecord kept = keepIn(end(members.get(0), RunEnding.FAILED)).records().get(0);
		feed(new WorkflowEvent.TermBegan(2, List.of(new KeptJob(job, Optional.of(kept), false))));
		endAndKeep(members.get(1), RunEnding.FAILED);
		assertThat(phase("a")).contains(JobPhase.RUNNING);
	}

	@Test
	void aWholeGangGoesOn() {
		Workflow job = job("a", 2, gang(2, 1));
		takeOver(job, JobPhase.RUNNING, 0, 1);
		assertThat(stopsAfterReport(0, 1)).isEmpty();
	}

	private void takeOver(Workflow job, JobPhase phase, int... running) {
		List<TaskRecord> tasks = new ArrayList<>();
		for (int index : running) {
			OpenRun open = new OpenRun(RUN, "t0", description(0, 1, false).life(), 1);
			tasks.add(new TaskRecord(new StepKey(0, 0), index, RUN, 0, false, "", List.of(open)));
		}
		JobRecord record = new JobRecord(job.id(), phase, List.of(), tasks);
		feed(new WorkflowEvent.TermBegan(2, List.of(new KeptJob(job, Optional.of(record), false))));
	}

	/**
	 * What is kept of a job whose only task was begun in a life of the first worker.
	 */
	private static JobRecord running(String job, long born) {
		OpenRun open = new OpenRun(RUN, "t0", description(0, born, false).life(), 1);
		return new JobRecord(job, JobPhase.RUNNING, List.of(),
				List.of(new TaskRecord(new StepKey(0, 0), 0, RUN, 0, false, "", List.of(open))));
	}

	private List<WorkflowCommand> declareQueue(String name, int maxAttempts) {
		JobQueue queue = new JobQueue(name, "h", "/" + name, "pool", 1, maxAttempts, 3, 1_000, false, false);
		return feed(new WorkflowEvent.ConfigurationChanged(
				new FleetConfiguration(2, List.of(queue), List.of("pool"), List.of())));
	}

	/**
	 * Has the worker tell that the tasks run, then lets the time of a repetition pass.
	 */
	private List<WorkflowCommand.StopRun> stopsAfterReport(int... tasks) {
		List<WorkerReport.Running> running = new ArrayList<>();
		for (int task : tasks) {
			running.add(new WorkerReport.Running(new TaskId("a", 0, 0, task), RUN, "", 10));
		}
		feed(new WorkflowEvent.WorkerReported(new WorkerReport("t0", description(0, 1, false), 2, running, List.of())));
		this.now += SchedulerPolicy.DEFAULT.orderRetryMillis();
		feed(new WorkflowEvent.Tick());
		return stops(this.commands);
	}

}
