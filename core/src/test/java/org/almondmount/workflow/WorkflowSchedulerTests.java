package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.WorkflowEvent.StoredJob;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkflowSchedulerTests extends SchedulerFixture {

	// The run is stored before its start command is sent. The next holder would not know
	// of a command that was sent first, and would start the task a second time.
	@Test
	void runIsStoredBeforeItsStartCommandIsSent() {
		beginTerm(1);
		List<WorkflowCommand> first = feed(new WorkflowEvent.JobAccepted(job("a", 2, step(1, 1))));
		assertThat(starts(first)).isEmpty();
		WorkflowCommand.Persist persist = requirePersist(first);
		assertThat(persist.records().get(0).tasks().get(0).openRuns()).hasSize(1);
		assertThat(starts(feed(new WorkflowEvent.Persisted(persist.sequence())))).hasSize(1);
	}

	@Test
	void zoneTakenOutWhileARunIsBeingStoredGetsNoStartCommand() {
		beginTerm(1);
		WorkflowCommand.Persist persist = requirePersist(feed(new WorkflowEvent.JobAccepted(job("a", 2, step(1, 1)))));
		feed(new WorkflowEvent.ZonesOutChanged(Set.of("z")));
		assertThat(starts(feed(new WorkflowEvent.Persisted(persist.sequence())))).isEmpty();
	}

	@Test
	void drainingWorkerGetsNoNewRuns() {
		beginTerm(1);
		reportIdle(0, true);
		assertThat(startsAfterAccepting(job("a", 2, step(1, 1)))).isEmpty();
	}

	@Test
	void gangStartsCompletelyOrNotAtAll() {
		beginTerm(1);
		assertThat(startsAfterAccepting(job("a", 2, gangStep(2, 5)))).isEmpty();
		assertThat(startsAfterAccepting(job("b", 2, gangStep(2, 4)))).hasSize(2);
	}

	@Test
	void stepWaitsForItsDependencies() {
		beginTerm(1);
		Step second = new Step(1, amount(1), 1_000, List.of(0), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceSpec.NONE);
		List<WorkflowCommand.StartRun> first = startsAfterAccepting(job("a", 2, step(1, 1), second));
		assertThat(first).extracting((start) -> start.task().step()).containsExactly(0);
		assertThat(starts(reportEndAndPersist(first.get(0), RunOutcome.DONE)))
			.extracting((start) -> start.task().step())
			.containsExactly(1);
	}

	@Test
	void endIsAcknowledgedOnlyOnceItIsStored() {
		beginTerm(1);
		WorkflowCommand.StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		List<WorkflowCommand> ended = reportEnd(start, RunOutcome.DONE);
		assertThat(ended).noneMatch(WorkflowCommand.AcknowledgeEnds.class::isInstance);
		assertThat(phase("a")).contains(JobPhase.RUNNING);
		assertThat(feed(new WorkflowEvent.Persisted(requirePersist(ended).sequence())))
			.anyMatch(WorkflowCommand.AcknowledgeEnds.class::isInstance);
		assertThat(phase("a")).contains(JobPhase.COMPLETED);
	}

	// Guards against ends that a worker reports forever because their acknowledgement was
	// lost.
	@Test
	void endThatIsReportedAgainIsAcknowledgedAgain() {
		beginTerm(1);
		WorkflowCommand.StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		reportEndAndPersist(start, RunOutcome.DONE);
		this.lastEndSequence = 0;
		assertThat(reportEnd(start, RunOutcome.DONE)).hasAtLeastOneElementOfType(WorkflowCommand.AcknowledgeEnds.class);
	}

	@Test
	void jobFailsOnceItsAttemptsAreUsedUp() {
		beginTerm(2);
		WorkflowCommand.StartRun first = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		reportEndAndPersist(first, RunOutcome.FAILED);
		this.now += 200;
		List<WorkflowCommand> again = new ArrayList<>(feed(new WorkflowEvent.Tick()));
		List<WorkflowCommand.StartRun> second = startsAfterPersisting(again);
		assertThat(second).hasSize(1);
		reportEndAndPersist(second.get(0), RunOutcome.FAILED);
		assertThat(phase("a")).contains(JobPhase.FAILED);
	}

	// The worker crashed and restarted under the same identifier. A start call for its
	// earlier incarnation may still take effect there, so the run counts as ended only
	// after the stop command was answered; until then the task is not restarted
	// elsewhere.
	@Test
	void runOfAnEarlierIncarnationIsStoppedBeforeItIsRestartedElsewhere() {
		beginTerm(2);
		WorkflowCommand.StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		int worker = start.target().equals("t0") ? 0 : 1;
		List<WorkflowCommand> afterRestart = feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t" + worker, description(worker, 77, false), 1, List.of(), List.of())));
		assertThat(afterRestart).anyMatch(WorkflowCommand.StopRun.class::isInstance);
		assertThat(startsAfterPersisting(afterRestart)).isEmpty();
		List<WorkflowCommand> refused = feed(
				new WorkflowEvent.RunRefused("t" + worker, start.task(), start.run(), "stopped"));
		assertThat(startsAfterPersisting(refused)).hasSize(1);
	}

	@Test
	void runBesideASilentTargetIsRestartedElsewhereAfterTheLease() {
		beginTerm(2);
		WorkflowCommand.StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		reportRunning(start);
		String other = start.target().equals("t0") ? "t1" : "t0";
		long leaseEndMillis = this.now + SchedulerPolicy.DEFAULT.lapsedAfterMillis();
		List<WorkflowCommand.StartRun> restarts = new ArrayList<>();
		while (this.now <= leaseEndMillis) {
			assertThat(restarts).as("at %d", this.now).isEmpty();
			this.now += 100;
			feed(new WorkflowEvent.WorkerHeartbeat(other));
			restarts.addAll(startsAfterPersisting(feed(new WorkflowEvent.Tick())));
		}
		assertThat(restarts).extracting(WorkflowCommand.StartRun::target).containsExactly(other);
	}

	// Less urgent work occupies all accelerators when a guaranteed job arrives.
	@Test
	void guaranteeIsReclaimedFromLessUrgentWork() {
		beginTerm(1);
		startsAfterAccepting(job("less", 2, step(2, 4))).forEach(this::reportRunning);
		List<WorkflowCommand> urgent = feed(new WorkflowEvent.JobAccepted(job("urgent", 0, gangStep(2, 2))));
		List<WorkflowCommand.StopRun> stops = stops(urgent);
		assertThat(stops).hasSize(1);
		WorkflowCommand.StopRun stop = stops.get(0);
		List<WorkflowCommand> ended = feed(new WorkflowEvent.WorkerReported(new WorkerReport("t0",
				description(0, 1, false), 1, List.of(), List.of(new WorkerReport.Ended(++this.lastEndSequence,
						stop.task(), stop.run(), RunOutcome.STOPPED, "")))));
		assertThat(startsAfterPersisting(ended)).extracting((start) -> start.task().job())
			.containsOnly("urgent")
			.hasSize(2);
	}

	// Each task of the step is placed separately. If capacity were freed for one task
	// after the other, the last task would start after as many stops as there are tasks.
	@Test
	void capacityForAllTasksOfAGuaranteedStepIsPreemptedAtOnce() {
		beginTerm(1);
		startsAfterAccepting(job("less", 2, step(8, 1))).forEach(this::reportRunning);
		List<WorkflowCommand> urgent = feed(new WorkflowEvent.JobAccepted(job("urgent", 0, step(3, 2))));
		assertThat(urgent).filteredOn(WorkflowCommand.StopRun.class::isInstance).hasSize(6);
	}

	// Small jobs would take each accelerator that becomes free. Work that would not end
	// before the waiting gang fits must not be placed where the gang will be placed.
	@Test
	void smallJobsDoNotStarveAWaitingGang() {
		beginTerm(1);
		startsAfterAccepting(job("first", 2, step(1, 7))).forEach(this::reportRunning);
		assertThat(startsAfterAccepting(job("gang", 1, gangStep(2, 4)))).isEmpty();
		assertThat(startsAfterAccepting(job("small", 2, step(1, 1)))).isEmpty();
	}

	// Members of a gang end together, so a member that is done early waits at 100 % for
	// the slowest. Guards against treating it as stalled, which stops the whole gang
	// shortly before its end and starts it over, again and again.
	@Test
	void memberAtFullProgressThatWaitsForOthersIsNotStalled() {
		beginTerm(1);
		List<WorkflowCommand.StartRun> gang = startsAfterAccepting(job("a", 2, gangStep(2, 2)));
		for (int percent = 10; percent <= 90; percent += 10) {
			assertThat(reportProgress(gang, 100, percent)).noneMatch(WorkflowCommand.StopRun.class::isInstance);
		}
	}

	@Test
	void stalledMemberStopsItsGang() {
		beginTerm(1);
		List<WorkflowCommand.StartRun> gang = startsAfterAccepting(job("a", 2, gangStep(2, 2)));
		List<WorkflowCommand> all = new ArrayList<>();
		for (int percent = 10; percent <= 90; percent += 10) {
			all.addAll(reportProgress(gang, 40, percent));
		}
		assertThat(all).anyMatch(WorkflowCommand.StopRun.class::isInstance);
	}

	@Test
	void cancellationIsConfirmedOnceStoredAndStopsRuns() {
		beginTerm(1);
		reportRunning(startsAfterAccepting(job("a", 2, step(1, 1))).get(0));
		List<WorkflowCommand> cancel = feed(new WorkflowEvent.CancelRequested("a"));
		assertThat(cancel).anyMatch(WorkflowCommand.StopRun.class::isInstance);
		assertThat(cancel).noneMatch(WorkflowCommand.CancellationPersisted.class::isInstance);
		assertThat(feed(new WorkflowEvent.Persisted(requirePersist(cancel).sequence())))
			.contains(new WorkflowCommand.CancellationPersisted("a"));
	}

	@Test
	void occurrenceIsNotStartedBeforeItsDueTime() {
		beginTerm(1);
		Workflow scheduled = new Workflow("a", "q2", "c", "p", List.of(step(1, 1)),
				new Workflow.Schedule(this.now + 1_000, 5_000, 2), this.now);
		assertThat(startsAfterAccepting(scheduled)).isEmpty();
		this.now += 1_000;
		feed(new WorkflowEvent.WorkerHeartbeat("t0"));
		assertThat(startsAfterPersisting(feed(new WorkflowEvent.Tick())))
			.extracting((start) -> start.task().occurrence())
			.containsExactly(0);
	}

	// A new holder reads from the store which runs may be active. It adopts the runs that
	// the worker reports, and stops the others before it restarts their tasks.
	@Test
	void newTermAdoptsReportedRunsAndStopsTheOthers() {
		JobRecord.OpenRun open = new JobRecord.OpenRun(1, "t0", new WorkerIncarnation("w0", 1), 1);
		JobRecord.StepKey key = new JobRecord.StepKey(0, 0);
		JobRecord progress = new JobRecord("a", JobPhase.RUNNING, List.of(),
				List.of(new JobRecord.TaskRecord(key, 0, 1, 0, false, "", List.of(open)),
						new JobRecord.TaskRecord(key, 1, 1, 0, false, "", List.of(open))));
		feed(new WorkflowEvent.TermBegan(2,
				List.of(new StoredJob(job("a", 2, step(2, 1)), Optional.of(progress), false))));
		List<WorkflowCommand> afterReport = feed(
				new WorkflowEvent.WorkerReported(new WorkerReport("t0", description(0, 1, false), 2,
						List.of(new WorkerReport.Running(new TaskId("a", 0, 0, 0), 1, "", 10)), List.of())));
		assertThat(afterReport).filteredOn(WorkflowCommand.StopRun.class::isInstance)
			.extracting((stop) -> ((WorkflowCommand.StopRun) stop).task().index())
			.containsExactly(1);
		assertThat(startsAfterPersisting(afterReport)).isEmpty();
	}

}
