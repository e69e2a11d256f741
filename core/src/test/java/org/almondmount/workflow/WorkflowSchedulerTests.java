package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.WorkflowEvent.KeptJob;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkflowSchedulerTests extends SchedulerFixture {

	// The run is written down before its order leaves. An order that left first would be
	// unknown to the next holder, which would start the task a second time.
	@Test
	void aRunIsKeptBeforeItIsOrdered() {
		begin(1);
		List<WorkflowCommand> first = feed(new WorkflowEvent.JobAccepted(job("a", 2, step(1, 1))));
		assertThat(starts(first)).isEmpty();
		WorkflowCommand.Keep keep = keepIn(first);
		assertThat(keep.records().get(0).tasks().get(0).openRuns()).hasSize(1);
		assertThat(starts(feed(new WorkflowEvent.Kept(keep.sequence())))).hasSize(1);
	}

	@Test
	void aZoneThatIsTakenOutWhileARunIsBeingKeptGetsNoOrder() {
		begin(1);
		WorkflowCommand.Keep keep = keepIn(feed(new WorkflowEvent.JobAccepted(job("a", 2, step(1, 1)))));
		feed(new WorkflowEvent.ZonesOutChanged(Set.of("z")));
		assertThat(starts(feed(new WorkflowEvent.Kept(keep.sequence())))).isEmpty();
	}

	@Test
	void aWorkerThatDrainsGetsNothingNew() {
		begin(1);
		report(0, true);
		assertThat(startsOf(job("a", 2, step(1, 1)))).isEmpty();
	}

	@Test
	void aGangStartsWholeOrNotAtAll() {
		begin(1);
		assertThat(startsOf(job("a", 2, gang(2, 5)))).isEmpty();
		assertThat(startsOf(job("b", 2, gang(2, 4)))).hasSize(2);
	}

	@Test
	void aStepWaitsForTheStepsBeforeIt() {
		begin(1);
		Step second = new Step(1, amount(1), 1_000, List.of(0), false, false, Step.Placement.ANYWHERE, false,
				Step.ServiceTerms.NONE);
		List<WorkflowCommand.StartRun> first = startsOf(job("a", 2, step(1, 1), second));
		assertThat(first).extracting((start) -> start.task().step()).containsExactly(0);
		assertThat(starts(endAndKeep(first.get(0), RunEnding.DONE))).extracting((start) -> start.task().step())
			.containsExactly(1);
	}

	@Test
	void anEndIsAcknowledgedOnlyOnceItIsKept() {
		begin(1);
		WorkflowCommand.StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		List<WorkflowCommand> ended = end(start, RunEnding.DONE);
		assertThat(ended).noneMatch(WorkflowCommand.AcknowledgeEnds.class::isInstance);
		assertThat(phase("a")).contains(JobPhase.RUNNING);
		assertThat(feed(new WorkflowEvent.Kept(keepIn(ended).sequence())))
			.anyMatch(WorkflowCommand.AcknowledgeEnds.class::isInstance);
		assertThat(phase("a")).contains(JobPhase.COMPLETED);
	}

	// Guards against ends that a worker lists for ever because their acknowledgement was
	// lost on its way.
	@Test
	void anEndThatIsListedAgainIsAcknowledgedAgain() {
		begin(1);
		WorkflowCommand.StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		endAndKeep(start, RunEnding.DONE);
		this.ends = 0;
		assertThat(end(start, RunEnding.DONE)).hasAtLeastOneElementOfType(WorkflowCommand.AcknowledgeEnds.class);
	}

	@Test
	void aJobFailsAfterTheAttemptsOfItsQueue() {
		begin(2);
		WorkflowCommand.StartRun first = startsOf(job("a", 2, step(1, 1))).get(0);
		endAndKeep(first, RunEnding.FAILED);
		this.now += 200;
		List<WorkflowCommand> again = new ArrayList<>(feed(new WorkflowEvent.Tick()));
		List<WorkflowCommand.StartRun> second = keepAll(again);
		assertThat(second).hasSize(1);
		endAndKeep(second.get(0), RunEnding.FAILED);
		assertThat(phase("a")).contains(JobPhase.FAILED);
	}

	// The worker crashed and came back under its name. A call of its former life that
	// begins the run may still be carried out there, so the run counts as over only after
	// the order to stop it was answered; until then the task is not begun elsewhere.
	@Test
	void whatRanInAFormerLifeIsStoppedInTheNextBeforeItIsBegunElsewhere() {
		begin(2);
		WorkflowCommand.StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		int worker = start.target().equals("t0") ? 0 : 1;
		List<WorkflowCommand> reborn = feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t" + worker, description(worker, 77, false), 1, List.of(), List.of())));
		assertThat(reborn).anyMatch(WorkflowCommand.StopRun.class::isInstance);
		assertThat(keepAll(reborn)).isEmpty();
		List<WorkflowCommand> refused = feed(
				new WorkflowEvent.RunRefused("t" + worker, start.task(), start.run(), "stopped"));
		assertThat(keepAll(refused)).hasSize(1);
	}

	@Test
	void whatRanBesideASilentTargetIsBegunElsewhereAfterTheLease() {
		begin(2);
		WorkflowCommand.StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		run(start);
		String other = start.target().equals("t0") ? "t1" : "t0";
		long lapsed = this.now + SchedulerPolicy.DEFAULT.lapsedAfterMillis();
		List<WorkflowCommand.StartRun> again = new ArrayList<>();
		while (this.now <= lapsed) {
			assertThat(again).as("at %d", this.now).isEmpty();
			this.now += 100;
			feed(new WorkflowEvent.WorkerHeard(other));
			again.addAll(keepAll(feed(new WorkflowEvent.Tick())));
		}
		assertThat(again).extracting(WorkflowCommand.StartRun::target).containsExactly(other);
	}

	// All accelerators are taken by less urgent work when a job of the guarantee comes.
	@Test
	void aGuaranteeIsReclaimedFromLessUrgentWork() {
		begin(1);
		startsOf(job("less", 2, step(2, 4))).forEach(this::run);
		List<WorkflowCommand> urgent = feed(new WorkflowEvent.JobAccepted(job("urgent", 0, gang(2, 2))));
		List<WorkflowCommand.StopRun> stops = stops(urgent);
		assertThat(stops).hasSize(1);
		WorkflowCommand.StopRun stop = stops.get(0);
		List<WorkflowCommand> ended = feed(
				new WorkflowEvent.WorkerReported(new WorkerReport("t0", description(0, 1, false), 1, List.of(),
						List.of(new WorkerReport.Ended(++this.ends, stop.task(), stop.run(), RunEnding.STOPPED, "")))));
		assertThat(keepAll(ended)).extracting((start) -> start.task().job()).containsOnly("urgent").hasSize(2);
	}

	// Each task of the step is a unit of its own. Cleared one after the other, the last
	// of them would start after as many stops as there are tasks.
	@Test
	void allTasksOfAGuaranteedStepAreClearedAtOnce() {
		begin(1);
		startsOf(job("less", 2, step(8, 1))).forEach(this::run);
		List<WorkflowCommand> urgent = feed(new WorkflowEvent.JobAccepted(job("urgent", 0, step(3, 2))));
		assertThat(urgent).filteredOn(WorkflowCommand.StopRun.class::isInstance).hasSize(6);
	}

	// Small work would take each accelerator that becomes free. What would not end before
	// the waiting gang fits may not be placed where the gang will go.
	@Test
	void smallWorkDoesNotStarveAGangThatWaits() {
		begin(1);
		startsOf(job("first", 2, step(1, 7))).forEach(this::run);
		assertThat(startsOf(job("gang", 1, gang(2, 4)))).isEmpty();
		assertThat(startsOf(job("small", 2, step(1, 1)))).isEmpty();
	}

	// Members of a gang end together. One that is done early waits at a hundred percent
	// for
	// the slowest; taken for a standstill, the whole gang was stopped shortly before its
	// end and began anew, again and again.
	@Test
	void aMemberThatIsDoneAndWaitsForTheOthersDoesNotStandStill() {
		begin(1);
		List<WorkflowCommand.StartRun> gang = startsOf(job("a", 2, gang(2, 2)));
		for (int percent = 10; percent <= 90; percent += 10) {
			assertThat(progress(gang, 100, percent)).noneMatch(WorkflowCommand.StopRun.class::isInstance);
		}
	}

	@Test
	void aMemberThatMovesNoMoreStopsItsGang() {
		begin(1);
		List<WorkflowCommand.StartRun> gang = startsOf(job("a", 2, gang(2, 2)));
		List<WorkflowCommand> all = new ArrayList<>();
		for (int percent = 10; percent <= 90; percent += 10) {
			all.addAll(progress(gang, 40, percent));
		}
		assertThat(all).anyMatch(WorkflowCommand.StopRun.class::isInstance);
	}

	@Test
	void aCancelIsToldOnceItIsKeptAndStopsWhatRuns() {
		begin(1);
		run(startsOf(job("a", 2, step(1, 1))).get(0));
		List<WorkflowCommand> cancel = feed(new WorkflowEvent.CancelRequested("a"));
		assertThat(cancel).anyMatch(WorkflowCommand.StopRun.class::isInstance);
		assertThat(cancel).noneMatch(WorkflowCommand.CancelKept.class::isInstance);
		assertThat(feed(new WorkflowEvent.Kept(keepIn(cancel).sequence())))
			.contains(new WorkflowCommand.CancelKept("a"));
	}

	@Test
	void anOccurrenceIsNotBegunBeforeItsTime() {
		begin(1);
		Workflow timed = new Workflow("a", "q2", "c", "p", List.of(step(1, 1)),
				new Workflow.Schedule(this.now + 1_000, 5_000, 2), this.now);
		assertThat(startsOf(timed)).isEmpty();
		this.now += 1_000;
		feed(new WorkflowEvent.WorkerHeard("t0"));
		assertThat(keepAll(feed(new WorkflowEvent.Tick()))).extracting((start) -> start.task().occurrence())
			.containsExactly(0);
	}

	// The next holder knows what may be at work from what is kept, adopts what the worker
	// says that it runs and has the rest stopped before it begins it anew.
	@Test
	void aNewTermAdoptsWhatRunsAndSettlesTheRest() {
		JobRecord.OpenRun open = new JobRecord.OpenRun(1, "t0", new WorkerLife("w0", 1), 1);
		JobRecord.StepKey key = new JobRecord.StepKey(0, 0);
		JobRecord progress = new JobRecord("a", JobPhase.RUNNING, List.of(),
				List.of(new JobRecord.TaskRecord(key, 0, 1, 0, false, "", List.of(open)),
						new JobRecord.TaskRecord(key, 1, 1, 0, false, "", List.of(open))));
		feed(new WorkflowEvent.TermBegan(2,
				List.of(new KeptJob(job("a", 2, step(2, 1)), Optional.of(progress), false))));
		List<WorkflowCommand> told = feed(
				new WorkflowEvent.WorkerReported(new WorkerReport("t0", description(0, 1, false), 2,
						List.of(new WorkerReport.Running(new TaskId("a", 0, 0, 0), 1, "", 10)), List.of())));
		assertThat(told).filteredOn(WorkflowCommand.StopRun.class::isInstance)
			.extracting((stop) -> ((WorkflowCommand.StopRun) stop).task().index())
			.containsExactly(1);
		assertThat(keepAll(told)).isEmpty();
	}

}
