package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Bursts of urgent jobs beyond their customers' guarantees, on a fleet that is full or
 * nearly full. The objective of a job is three times its estimate plus a second.
 */
class UrgentBurstTests extends SchedulerFixture {

	// A job wider than the fleet and a job that fits wait for the same workers. The wide
	// job arrived first and would be late even with all of them. Placement in order of
	// arrival would make both jobs late.
	@Test
	void jobThatCannotBeInTimeDoesNotDelayTheNextOne() {
		beginTerm(0);
		feed(new WorkflowEvent.JobAccepted(job("wide", 0, step(9, 8))));
		feed(new WorkflowEvent.JobAccepted(job("fits", 0, step(2, 8))));
		reportIdle(0, false);
		reportIdle(1, false);
		assertThat(startsAfterPersisting(this.commands)).extracting((start) -> start.task().job())
			.containsOnly("fits")
			.hasSize(2);
	}

	// The fleet is full of work that has just started and has slack. Without preemption
	// the urgent job would wait until all of it ends; with it the other jobs lose little.
	@Test
	void recentlyStartedWorkWithSlackIsPreempted() {
		beginTerm(2);
		startsAfterAccepting(job("less", 2, step(4, 4))).forEach(this::reportRunning);
		assertThat(stopsAfterAccepting(job("urgent", 0, step(4, 4)))).hasSize(4);
	}

	@Test
	void workThatWouldLoseMoreThanTheUrgentJobNeedsContinues() {
		beginTerm(2);
		startsAfterAccepting(job("less", 2, estimatedStep(4, 4, 100_000, false))).forEach(this::reportRunning);
		this.now += 20_000;
		reportIdle(0, false);
		reportIdle(1, false);
		assertThat(stopsAfterAccepting(job("urgent", 0, step(4, 4)))).isEmpty();
	}

	// The active runs will finish in half a second, and the urgent job can wait that
	// long. Preempting them now would lose nearly all of their work for nothing.
	@Test
	void nothingIsPreemptedForAJobThatWillFindCapacityInTime() {
		beginTerm(1);
		List<WorkflowCommand.StartRun> starts = startsAfterAccepting(
				job("less", 2, estimatedStep(2, 4, 10_000, false)));
		reportProgress(starts, 0, 0);
		this.now += 9_000;
		reportProgress(starts, 95, 95);
		assertThat(stopsAfterAccepting(jobOf("nobody", "urgent", 0, step(1, 8)))).isEmpty();
	}

	// A new holder receives the reports of the workers one after the other. The first
	// worker is full; the next one, which reports a moment later, has capacity for the
	// urgent job. The job has to wait for that report instead of preempting the runs on
	// the first.
	@Test
	void nothingIsPreemptedBeforeANewHolderKnowsTheFleet() {
		List<WorkflowCommand.StartRun> starts = beginTermWithInheritedRunsAndAnUrgentJob();
		this.commands.clear();
		feed(runsReported(starts));
		assertThat(this.commands).noneMatch(WorkflowCommand.StopRun.class::isInstance);
		this.now += 20;
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t1", description(1, 1, false), 2, List.of(), List.of())));
		assertThat(startsAfterPersisting(this.commands)).extracting((start) -> start.task().job())
			.containsExactly("urgent");
	}

	@Test
	void urgentWorkPreemptsOnceANewHolderHasWaitedForTheFleet() {
		List<WorkflowCommand.StartRun> starts = beginTermWithInheritedRunsAndAnUrgentJob();
		this.now += 1_000;
		this.commands.clear();
		feed(runsReported(starts));
		assertThat(this.commands).filteredOn(WorkflowCommand.StopRun.class::isInstance).hasSize(2);
	}

	// The two members of the gang share their lost work. Counting the work of the whole
	// gang for each member makes preemption look twice as expensive as it is, and the
	// urgent job waits for the gang to end.
	@Test
	void lostWorkOfAGangCountsOnce() {
		beginTerm(1);
		startsAfterAccepting(job("less", 2, gangStep(2, 4))).forEach(this::reportRunning);
		this.now += 2_000;
		reportIdle(0, false);
		assertThat(stopsAfterAccepting(jobOf("nobody", "urgent", 0, estimatedStep(1, 8, 2_000, false)))).hasSize(2);
	}

	// Stopping the cheap small runs alone does not free enough capacity. Once the large
	// run has to be stopped, not all of the small ones need to be.
	@Test
	void runIsNotPreemptedIfItsCapacityIsNotNeeded() {
		beginTerm(1);
		startsAfterAccepting(job("small", 2, step(4, 1))).forEach(this::reportRunning);
		startsAfterAccepting(job("large", 2, step(1, 4))).forEach(this::reportRunning);
		assertThat(stopsAfterAccepting(jobOf("nobody", "urgent", 0, step(1, 5)))).hasSize(2);
	}

	// A run with checkpoints loses little, however much work it has done so far.
	@Test
	void workWithCheckpointsIsPreemptedFirst() {
		beginTerm(2);
		List<WorkflowCommand.StartRun> checkpointed = startsAfterAccepting(
				job("saves", 2, estimatedStep(1, 8, 100_000, true)));
		checkpointed.forEach(this::reportRunning);
		startsAfterAccepting(job("loses", 2, estimatedStep(1, 8, 100_000, false))).forEach(this::reportRunning);
		this.now += 2_000;
		reportIdle(0, false);
		reportIdle(1, false);
		assertThat(stopsAfterAccepting(jobOf("nobody", "urgent", 0, step(1, 8))))
			.extracting((stop) -> stop.task().job())
			.containsExactly("saves");
	}

	@Test
	void workThatWouldBecomeLateIsNotPreempted() {
		beginTerm(2);
		startsAfterAccepting(job("less", 2, estimatedStep(4, 4, 10_000, true))).forEach(this::reportRunning);
		this.now += 12_000;
		reportIdle(0, false);
		reportIdle(1, false);
		assertThat(stopsAfterAccepting(job("urgent", 0, step(4, 4)))).isEmpty();
	}

	// Preemption would make room for three of the four tasks. The job would still wait
	// for the fourth, so the work of the preempted runs would be lost for nothing.
	@Test
	void nothingIsPreemptedForAJobThatWouldFitOnlyInPart() {
		beginTerm(2);
		startsAfterAccepting(jobOf("other", "hers", 0, step(1, 4))).forEach(this::reportRunning);
		startsAfterAccepting(job("less", 2, step(3, 4))).forEach(this::reportRunning);
		assertThat(stopsAfterAccepting(job("urgent", 0, gangStep(4, 4)))).isEmpty();
	}

	@Test
	void nothingIsPreemptedForAJobThatTheStopTimeMakesLate() {
		beginTerm(2);
		startsAfterAccepting(job("less", 2, step(4, 4))).forEach(this::reportRunning);
		Workflow urgent = job("urgent", 0, estimatedStep(4, 4, 300, false));
		this.now += 800;
		reportIdle(0, false);
		reportIdle(1, false);
		assertThat(stopsAfterAccepting(urgent)).isEmpty();
	}

	// Another customer's urgent work occupies the fleet beyond its own guarantee. There
	// is no less urgent work to preempt, but the guarantee must still be met.
	@Test
	void guaranteeIsReclaimedFromUrgentWorkBeyondAnotherGuarantee() {
		beginTerm(2);
		startsAfterAccepting(jobOf("other", "hers", 0, step(4, 4))).forEach(this::reportRunning);
		assertThat(stopsAfterAccepting(job("mine", 0, step(2, 4)))).hasSize(2);
	}

	// Guards against a guaranteed gang that waits for a worker it can no longer use: one
	// of the two workers that are being freed for it starts to drain meanwhile.
	@Test
	void guaranteeIsPlannedAnewOnceAFreedWorkerDrains() {
		feed(new WorkflowEvent.ConfigurationChanged(new FleetConfiguration(2,
				List.of(new JobQueue("q0", "h", "/0", "pool", 0, 2, 3, 1_000, false, false),
						new JobQueue("q2", "h", "/2", "pool", 2, 2, 3, 1_000, false, false)),
				List.of("pool"), List.of(new FleetCustomer("c", Set.of("k"), 16)))));
		beginTerm(3);
		startsAfterAccepting(job("less", 2, step(3, 8))).forEach(this::reportRunning);
		List<WorkflowCommand.StopRun> stopped = stopsAfterAccepting(job("urgent", 0, gangStep(2, 8)));
		assertThat(stopped).hasSize(2);
		int draining = Integer.parseInt(stopped.get(0).target().substring(1));
		this.commands.clear();
		reportIdle(draining, true);
		feed(new WorkflowEvent.Tick());
		assertThat(stops(this.commands)).extracting(WorkflowCommand.StopRun::target)
			.doesNotContain("t" + draining)
			.isNotEmpty();
	}

	// A job whose result is no longer useful waits behind useful work of any priority.
	@Test
	void expiredJobWaitsBehindLessUrgentWorkThatIsStillUseful() {
		beginTerm(0);
		feed(new WorkflowEvent.JobAccepted(job("expired", 0, step(2, 8))));
		this.now += 100_000;
		feed(new WorkflowEvent.JobAccepted(job("fresh", 2, step(1, 8))));
		reportIdle(0, false);
		assertThat(startsAfterPersisting(this.commands)).extracting((start) -> start.task().job())
			.containsExactly("fresh");
	}

	// Guards against a stream of newer jobs that starves an old one.
	@Test
	void jobThatWaitedVeryLongIsPlacedFirstAgain() {
		beginTerm(0);
		feed(new WorkflowEvent.JobAccepted(job("starved", 2, step(2, 8))));
		this.now += 300_000;
		feed(new WorkflowEvent.JobAccepted(job("fresh", 2, step(1, 8))));
		reportIdle(0, false);
		assertThat(startsAfterPersisting(this.commands)).extracting((start) -> start.task().job())
			.containsExactly("starved");
	}

	// Begins a term that inherits a worker full of less urgent work and an urgent job.
	private List<WorkflowCommand.StartRun> beginTermWithInheritedRunsAndAnUrgentJob() {
		beginTerm(1);
		Workflow less = job("less", 2, step(2, 4));
		List<WorkflowCommand.StartRun> starts = startsAfterAccepting(less);
		starts.forEach(this::reportRunning);
		Workflow urgent = jobOf("nobody", "urgent", 0, step(1, 8));
		feed(new WorkflowEvent.TermBegan(2,
				List.of(storedJob(less, starts), new WorkflowEvent.StoredJob(urgent, Optional.empty(), false))));
		return starts;
	}

	private static WorkflowEvent.StoredJob storedJob(Workflow job, List<WorkflowCommand.StartRun> starts) {
		List<JobRecord.TaskRecord> tasks = new ArrayList<>();
		for (WorkflowCommand.StartRun start : starts) {
			tasks.add(new JobRecord.TaskRecord(new JobRecord.StepKey(0, 0), start.task().index(), start.run(), 0, false,
					"", List.of(new JobRecord.OpenRun(start.run(), start.target(), start.incarnation(), 1))));
		}
		return new WorkflowEvent.StoredJob(job,
				Optional.of(new JobRecord(job.id(), JobPhase.RUNNING, List.of(), tasks)), false);
	}

	private static WorkflowEvent runsReported(List<WorkflowCommand.StartRun> starts) {
		List<WorkerReport.Running> running = new ArrayList<>();
		starts.forEach((start) -> running.add(new WorkerReport.Running(start.task(), start.run(), "", 0)));
		return new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 1, false), 2, running, List.of()));
	}

	private List<WorkflowCommand.StopRun> stopsAfterAccepting(Workflow job) {
		return feed(new WorkflowEvent.JobAccepted(job)).stream()
			.filter(WorkflowCommand.StopRun.class::isInstance)
			.map(WorkflowCommand.StopRun.class::cast)
			.toList();
	}

	private static Step estimatedStep(int count, long accelerators, long estimateMillis, boolean savesCheckpoints) {
		return new Step(count, amount(accelerators), estimateMillis, List.of(), savesCheckpoints, false,
				Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
	}

}
