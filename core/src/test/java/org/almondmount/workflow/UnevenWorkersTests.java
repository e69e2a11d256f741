package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Urgent jobs with a tight objective on workers of which every fourth takes less than
 * half of the time of the others. No label tells them apart; their speeds are learnt from
 * single tasks that run on all of them.
 */
class UnevenWorkersTests extends SchedulerFixture {

	private static final int WORKERS = 16;

	private static final long FAST_MILLIS = 5_500;

	private static final long SLOW_MILLIS = 12_000;

	private static final String[] FAST = { "t0", "t4", "t8", "t12" };

	private static final long OBJECTIVE_MILLIS = 16_000;

	private static final long RETRY_DELAY_MILLIS = 100;

	/** An age at which runs that are expected to take ten seconds have been sampled. */
	private static final long SAMPLE_AGE_MILLIS = 4_000;

	private static final int SLOW_WORKERS_PER_FAST_ONE = 3;

	@BeforeEach
	void declareTightObjectives() {
		declare(2, 1.5);
	}

	// On the other workers the job would be late after any delay.
	@Test
	void urgentGangIsStartedOnFastWorkers() {
		learnSpeeds();
		assertThat(targets(startsAfterAccepting(job("urgent", 0, gangStep(8, 4))))).containsOnly(FAST).hasSize(8);
	}

	@Test
	void workWithTimeLeavesFastWorkersFree() {
		learnSpeeds();
		assertThat(targets(startsAfterAccepting(job("slack", 1, step(24, 4))))).doesNotContain(FAST).hasSize(24);
	}

	@Test
	void workWithTimeTakesFastWorkersRatherThanWait() {
		learnSpeeds();
		assertThat(targets(startsAfterAccepting(job("slack", 1, step(32, 4))))).contains(FAST).hasSize(32);
	}

	// A gang that needs one slow member is as slow as if all were slow.
	@Test
	void urgentGangThatDoesNotFitOnFastWorkersLeavesThemFree() {
		learnSpeeds();
		assertThat(targets(startsAfterAccepting(job("wide", 0, gangStep(9, 4))))).doesNotContain(FAST).hasSize(9);
	}

	@Test
	void urgentGangsAreInTimeAfterAFailureWhereSpeedsAreKnown() {
		learnSpeeds();
		assertThat(urgentGangsInTimeAfterAFailure()).isEqualTo(3);
	}

	// The same jobs where the operators' objectives leave time: speeds are not learnt.
	@Test
	void urgentGangsAreLateAfterAFailureWhereSpeedsAreNotLearnt() {
		declare(3, 2);
		learnSpeeds();
		assertThat(urgentGangsInTimeAfterAFailure()).isZero();
	}

	// Guards against beliefs of an earlier term: the next holder knows nothing yet.
	@Test
	void newTermStartsWithoutSpeeds() {
		learnSpeeds();
		feed(new WorkflowEvent.TermEnded());
		beginTerm(WORKERS);
		assertThat(targets(startsAfterAccepting(job("slack", 1, step(2, 8))))).containsExactly("t0", "t1");
	}

	// A worker may come back as one of another kind under the same name.
	@Test
	void newLifeOfAWorkerStartsUnknown() {
		learnSpeeds();
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 2, false), 1, List.of(), List.of())));
		assertThat(targets(startsAfterAccepting(job("urgent", 0, gangStep(3, 8))))).containsExactlyInAnyOrder("t4",
				"t8", "t12");
	}

	// Guards against forgetting: the members of a gang on fast workers are alike, which
	// does not make these workers usual ones.
	@Test
	void fastWorkersAreStillKnownAfterGangsRanOnThemAlone() {
		learnSpeeds();
		for (int number = 0; number < 4; number++) {
			List<WorkflowCommand.StartRun> starts = startsAfterAccepting(job("urgent" + number, 0, gangStep(4, 8)));
			assertThat(targets(starts)).containsExactlyInAnyOrder(FAST);
			starts.forEach((start) -> reportProgress(start, 0));
			pass(SAMPLE_AGE_MILLIS);
			starts.forEach((start) -> reportProgress(start, (int) (100 * SAMPLE_AGE_MILLIS / runMillis(start))));
			endGang(starts, RunOutcome.DONE);
		}
	}

	@Test
	void speedsNoLongerMatterOnceObjectivesLeaveTime() {
		learnSpeeds();
		declare(3, 3);
		assertThat(targets(startsAfterAccepting(job("slack", 1, step(2, 8))))).containsExactly("t0", "t1");
	}

	// Guards against long-running tasks that would hold the fast workers for good.
	@Test
	void servicesLeaveFastWorkersFree() {
		learnSpeeds();
		Step service = new Step(4, amount(8), 10_000, List.of(), false, false, Step.Placement.ANYWHERE, false,
				new Step.ServiceSpec(true, "image", 0, false, 0));
		assertThat(targets(startsAfterAccepting(job("service", 0, service)))).doesNotContain(FAST).hasSize(4);
	}

	// Away from its data a task is slow on any worker.
	@Test
	void runsAwayFromTheirDataTellNothing() {
		beginTerm(WORKERS);
		Step.Placement nearData = new Step.Placement("", "r1-2", false, 0);
		for (String id : List.of("first", "second")) {
			runOnEachWorker(id, new Step(WORKERS, amount(8), 10_000, List.of(), false, false, nearData, false,
					Step.ServiceSpec.NONE));
		}
		assertThat(targets(startsAfterAccepting(job("urgent", 0, gangStep(2, 8))))).containsExactly("t0", "t1");
	}

	/**
	 * Runs three urgent gangs of which the first attempt fails halfway. The run time of a
	 * gang is that of its slowest member.
	 * @return how many end within one and a half times the usual run time plus a second
	 */
	private int urgentGangsInTimeAfterAFailure() {
		int inTime = 0;
		for (int number = 0; number < 3; number++) {
			long acceptedAt = this.now;
			List<WorkflowCommand.StartRun> starts = startsAfterAccepting(job("urgent" + number, 0, gangStep(2, 8)));
			pass(gangMillis(starts) / 2);
			endGang(starts, RunOutcome.FAILED);
			pass(RETRY_DELAY_MILLIS);
			List<WorkflowCommand.StartRun> retry = startsAfterPersisting(feed(new WorkflowEvent.Tick()));
			pass(gangMillis(retry));
			inTime += (this.now - acceptedAt <= OBJECTIVE_MILLIS) ? 1 : 0;
			endGang(retry, RunOutcome.DONE);
		}
		return inTime;
	}

	// Lets time pass in which all workers stay in contact.
	private void pass(long millis) {
		this.now += millis;
		for (int worker = 0; worker < WORKERS; worker++) {
			feed(new WorkflowEvent.WorkerHeartbeat("t" + worker));
		}
	}

	private void endGang(List<WorkflowCommand.StartRun> starts, RunOutcome outcome) {
		for (WorkflowCommand.StartRun start : starts) {
			boolean first = start == starts.get(0);
			RunOutcome memberOutcome = (outcome == RunOutcome.FAILED && !first) ? RunOutcome.BROKEN : outcome;
			startsAfterPersisting(reportEnd(start, memberOutcome));
		}
	}

	// Runs two jobs of one task for each worker and reports the progress of the tasks.
	private void learnSpeeds() {
		beginTerm(WORKERS);
		runOnEachWorker("first", step(WORKERS, 8));
		runOnEachWorker("second", step(WORKERS, 8));
		this.commands.clear();
	}

	private void runOnEachWorker(String id, Step step) {
		List<WorkflowCommand.StartRun> starts = startsAfterAccepting(job(id, 2, step));
		assertThat(targets(starts)).doesNotHaveDuplicates().hasSize(WORKERS);
		starts.forEach((start) -> reportProgress(start, 0));
		pass(SAMPLE_AGE_MILLIS);
		starts.forEach((start) -> reportProgress(start, (int) (100 * SAMPLE_AGE_MILLIS / runMillis(start))));
		starts.forEach((start) -> startsAfterPersisting(reportEnd(start, RunOutcome.DONE)));
	}

	private void reportProgress(WorkflowCommand.StartRun start, int percent) {
		int worker = Integer.parseInt(start.target().substring(1));
		feed(new WorkflowEvent.WorkerReported(new WorkerReport(start.target(), description(worker, 1, false), 1,
				List.of(new WorkerReport.Running(start.task(), start.run(), "", percent)), List.of())));
	}

	private void declare(long revision, double criticalPathFactor) {
		List<JobQueue> queues = new ArrayList<>();
		for (int priority = 0; priority < 3; priority++) {
			queues.add(new JobQueue("q" + priority, "h", "/" + priority, "pool", priority, 3,
					(priority == 0) ? criticalPathFactor : 3, 1_000, false, false));
		}
		feed(new WorkflowEvent.ConfigurationChanged(new FleetConfiguration(revision, queues, List.of("pool"),
				List.of(new FleetCustomer("c", Set.of("k"), 8), new FleetCustomer("other", Set.of("o"), 8)))));
	}

	private static long gangMillis(List<WorkflowCommand.StartRun> starts) {
		return starts.stream().mapToLong(UnevenWorkersTests::runMillis).max().orElseThrow();
	}

	private static long runMillis(WorkflowCommand.StartRun start) {
		return isFast(start) ? FAST_MILLIS : SLOW_MILLIS;
	}

	private static boolean isFast(WorkflowCommand.StartRun start) {
		return Integer.parseInt(start.target().substring(1)) % (SLOW_WORKERS_PER_FAST_ONE + 1) == 0;
	}

	private static List<String> targets(List<WorkflowCommand.StartRun> starts) {
		return starts.stream().map(WorkflowCommand.StartRun::target).toList();
	}

}
