package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.almondmount.workflow.JobRecord.OpenRun;
import org.almondmount.workflow.JobRecord.StepKey;
import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.WorkflowEvent.StoredJob;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Handling of runs that were started by an earlier holder.
 */
class InheritedRunsTests extends SchedulerFixture {

	private static final int RUN_NUMBER = 1;

	// Guards against runs that continue after their job has ended because the holder that
	// stopped them lost the term before its stop command arrived.
	@ParameterizedTest
	@EnumSource(names = { "CANCELLED", "FAILED" })
	void runsOfAnEndedJobAreStopped(JobPhase phase) {
		Workflow job = job("a", 2, step(2, 1));
		beginTermWithOpenRuns(job, phase, 0, 1);
		assertThat(stopsAfterReport(0, 1)).extracting((stop) -> stop.task().index()).containsOnly(0, 1);
	}

	// Guards against a run of an ended job that continues because its worker reports
	// late.
	@Test
	void stopIsSentAgainOnceTheWorkerReports() {
		Workflow job = job("a", 2, step(1, 1));
		beginTermWithOpenRuns(job, JobPhase.CANCELLED, 0);
		this.now += 5_000;
		feed(new WorkflowEvent.Tick());
		this.commands.clear();
		assertThat(stopsAfterReport(0)).isNotEmpty();
	}

	// Guards against failing a job because the new holder has not yet read how many
	// attempts its queue allows.
	@Test
	void failureBeforeTheQueueIsKnownCountsOnceItIs() {
		Workflow job = new Workflow("a", "later", "c", "p", List.of(step(1, 1)), Workflow.Schedule.ONCE, this.now);
		beginTermWithOpenRuns(job, JobPhase.RUNNING, 0);
		reportEndAndPersist(new WorkflowCommand.StartRun("t0", description(0, 1, false).incarnation(),
				new TaskId("a", 0, 0, 0), RUN_NUMBER, "p", "", ResourceAmount.NONE), RunOutcome.FAILED);
		assertThat(phase("a")).contains(JobPhase.RUNNING);
		startsAfterPersisting(declareQueue("later", 1));
		assertThat(phase("a")).contains(JobPhase.FAILED);
	}

	// Guards against starting a task once more than its queue allows because its last
	// failure was stored by a holder that did not know the queue.
	@Test
	void jobWithoutAttemptsLeftIsNotStartedByTheNextHolder() {
		beginTerm(1);
		Workflow job = job("a", 2, step(1, 1));
		TaskRecord failed = new TaskRecord(new StepKey(0, 0), 0, 2, 2, false, "", List.of());
		JobRecord stored = new JobRecord("a", JobPhase.RUNNING, List.of(), List.of(failed));
		this.commands.clear();
		startsAfterPersisting(
				feed(new WorkflowEvent.TermBegan(2, List.of(new StoredJob(job, Optional.of(stored), false)))));
		startsAfterPersisting(feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 1, false), 2, List.of(), List.of()))));
		assertThat(starts(this.commands)).isEmpty();
		assertThat(phase("a")).contains(JobPhase.FAILED);
	}

	// Guards against starting a task once more than a new configuration allows after its
	// last run was lost.
	@Test
	void taskWithoutAttemptsLeftIsNotRestartedAfterItsRunIsLost() {
		beginTerm(1);
		Workflow job = job("a", 2, step(1, 1));
		reportEndAndPersist(startsAfterAccepting(job).get(0), RunOutcome.FAILED);
		this.now += 200;
		WorkflowCommand.StartRun second = startsAfterPersisting(feed(new WorkflowEvent.Tick())).get(0);
		startsAfterPersisting(declareQueue("q2", 1));
		this.commands.clear();
		startsAfterPersisting(feed(new WorkflowEvent.RunRefused("t0", second.task(), second.run(), "gone")));
		this.now += 5_000;
		reportIdle(0, false);
		startsAfterPersisting(feed(new WorkflowEvent.Tick()));
		assertThat(starts(this.commands)).isEmpty();
		assertThat(phase("a")).contains(JobPhase.FAILED);
	}

	// Guards against a crash that no holder counts because another job already refers to
	// the later incarnation of the worker.
	@Test
	void runOfAnEarlierIncarnationIsLostAlthoughALaterOneIsKnown() {
		beginTerm(1);
		Workflow later = job("b", 2, step(1, 1));
		Workflow earlier = job("a", 2, step(1, 1));
		feed(new WorkflowEvent.TermBegan(2, List.of(new StoredJob(later, Optional.of(storedRunningJob("b", 2)), false),
				new StoredJob(earlier, Optional.of(storedRunningJob("a", 1)), false))));
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 2, false), 2, List.of(), List.of())));
		JobRecord stored = requirePersist(
				feed(new WorkflowEvent.RunRefused("t0", new TaskId("a", 0, 0, 0), RUN_NUMBER, "gone")))
			.records()
			.stream()
			.filter((record) -> record.job().equals("a"))
			.findFirst()
			.orElseThrow();
		assertThat(stored.tasks().get(0).crashes()).extracting(JobRecord.Crash::incarnation)
			.containsExactly(new WorkerIncarnation("w0", 1));
	}

	// Guards against a crash that no holder counts because the run was stored under the
	// later incarnation of the worker while the stop command for it was outstanding.
	@Test
	void runIsStoredUnderTheIncarnationThatMayHaveStartedIt() {
		beginTerm(2);
		Workflow job = job("a", 2, step(2, 1));
		List<TaskRecord> tasks = new ArrayList<>();
		for (int index = 0; index < 2; index++) {
			OpenRun open = new OpenRun(RUN_NUMBER, "t" + index, description(index, 1, false).incarnation(), 1);
			tasks.add(new TaskRecord(new StepKey(0, 0), index, RUN_NUMBER, 0, false, "", List.of(open)));
		}
		JobRecord record = new JobRecord("a", JobPhase.RUNNING, List.of(), tasks);
		feed(new WorkflowEvent.TermBegan(2, List.of(new StoredJob(job, Optional.of(record), false))));
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 2, false), 2, List.of(), List.of())));
		JobRecord stored = requirePersist(
				feed(new WorkflowEvent.RunRefused("t1", new TaskId("a", 0, 0, 1), RUN_NUMBER, "gone")))
			.records()
			.get(0);
		assertThat(stored.tasks()).filteredOn((task) -> task.index() == 0)
			.flatExtracting(TaskRecord::openRuns)
			.extracting(OpenRun::incarnation)
			.containsExactly(new WorkerIncarnation("w0", 1));
	}

	// Guards against stopping a run because a new configuration allows fewer attempts
	// than had been made when it started.
	@Test
	void runStartedWithinItsAttemptsMayFinish() {
		beginTerm(1);
		Workflow job = job("a", 2, step(1, 1));
		reportEndAndPersist(startsAfterAccepting(job).get(0), RunOutcome.FAILED);
		this.now += 200;
		assertThat(startsAfterPersisting(feed(new WorkflowEvent.Tick()))).hasSize(1);
		startsAfterPersisting(declareQueue("q2", 1));
		assertThat(phase("a")).contains(JobPhase.RUNNING);
	}

	@Test
	void runsOfAnUnfinishedJobContinue() {
		Workflow job = job("a", 2, step(2, 1));
		beginTermWithOpenRuns(job, JobPhase.RUNNING, 0, 1);
		assertThat(stopsAfterReport(0, 1)).isEmpty();
	}

	// Guards against members that occupy resources for a gang that can never be complete
	// again.
	@Test
	void remainingMembersOfAGangThatLostAMemberAreStopped() {
		Workflow job = job("a", 2, gangStep(2, 1));
		beginTermWithOpenRuns(job, JobPhase.RUNNING, 0);
		assertThat(stopsAfterReport(0)).extracting((stop) -> stop.task().index()).containsOnly(0);
	}

	// Guards against a member that is stopped, and counted as lost, although its gang is
	// done.
	@Test
	void remainingMembersOfACompletedGangMayFinish() {
		Workflow job = job("a", 2, gangStep(2, 1));
		beginTermWithOpenRuns(job, JobPhase.COMPLETED, 0);
		assertThat(stopsAfterReport(0)).isEmpty();
	}

	// Guards against a gang that fails too early because the failures of members of one
	// run are counted by two holders.
	@Test
	void failedGangRunCountsOnceUnderTwoHolders() {
		beginTerm(1);
		Workflow job = job("a", 2, gangStep(2, 1));
		List<WorkflowCommand.StartRun> members = startsAfterAccepting(job);
		JobRecord stored = requirePersist(reportEnd(members.get(0), RunOutcome.FAILED)).records().get(0);
		feed(new WorkflowEvent.TermBegan(2, List.of(new StoredJob(job, Optional.of(stored), false))));
		reportEndAndPersist(members.get(1), RunOutcome.FAILED);
		assertThat(phase("a")).contains(JobPhase.RUNNING);
	}

	@Test
	void completeGangContinues() {
		Workflow job = job("a", 2, gangStep(2, 1));
		beginTermWithOpenRuns(job, JobPhase.RUNNING, 0, 1);
		assertThat(stopsAfterReport(0, 1)).isEmpty();
	}

	private void beginTermWithOpenRuns(Workflow job, JobPhase phase, int... running) {
		List<TaskRecord> tasks = new ArrayList<>();
		for (int index : running) {
			OpenRun open = new OpenRun(RUN_NUMBER, "t0", description(0, 1, false).incarnation(), 1);
			tasks.add(new TaskRecord(new StepKey(0, 0), index, RUN_NUMBER, 0, false, "", List.of(open)));
		}
		JobRecord record = new JobRecord(job.id(), phase, List.of(), tasks);
		feed(new WorkflowEvent.TermBegan(2, List.of(new StoredJob(job, Optional.of(record), false))));
	}

	/**
	 * Returns the stored progress of a job whose only task was started in the given
	 * incarnation of the first worker.
	 */
	private static JobRecord storedRunningJob(String job, long startedAtMillis) {
		OpenRun open = new OpenRun(RUN_NUMBER, "t0", description(0, startedAtMillis, false).incarnation(), 1);
		return new JobRecord(job, JobPhase.RUNNING, List.of(),
				List.of(new TaskRecord(new StepKey(0, 0), 0, RUN_NUMBER, 0, false, "", List.of(open))));
	}

	private List<WorkflowCommand> declareQueue(String name, int maxAttempts) {
		JobQueue queue = new JobQueue(name, "h", "/" + name, "pool", 1, maxAttempts, 3, 1_000, false, false);
		return feed(new WorkflowEvent.ConfigurationChanged(
				new FleetConfiguration(2, List.of(queue), List.of("pool"), List.of())));
	}

	/**
	 * Reports the tasks as running, then advances the time until commands are repeated.
	 */
	private List<WorkflowCommand.StopRun> stopsAfterReport(int... tasks) {
		List<WorkerReport.Running> running = new ArrayList<>();
		for (int task : tasks) {
			running.add(new WorkerReport.Running(new TaskId("a", 0, 0, task), RUN_NUMBER, "", 10));
		}
		feed(new WorkflowEvent.WorkerReported(new WorkerReport("t0", description(0, 1, false), 2, running, List.of())));
		this.now += SchedulerPolicy.DEFAULT.orderRetryMillis();
		feed(new WorkflowEvent.Tick());
		return stops(this.commands);
	}

}
