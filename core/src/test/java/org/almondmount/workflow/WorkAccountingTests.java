package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.WorkflowCommand.StartRun;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Each core-second of an ended run is counted once: as kept, or as lost for a reason.
 */
class WorkAccountingTests extends SchedulerFixture {

	/** One core and one accelerator, which counts for eight cores. */
	private static final double CORES_PER_TASK = 9;

	private static final double RUN_SECONDS = 5;

	@Test
	void completedWorkIsCountedAsKept() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		runForSeconds(start);
		reportEnd(start, RunOutcome.DONE);
		assertThat(coreSecondsByOutcome()).isEqualTo(Map.of(WorkOutcome.KEPT, CORES_PER_TASK * RUN_SECONDS));
	}

	@Test
	void failedWorkIsCountedAsFailedTry() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		runForSeconds(start);
		reportEnd(start, RunOutcome.FAILED);
		assertThat(coreSecondsByOutcome()).isEqualTo(Map.of(WorkOutcome.FAILED_TRY, CORES_PER_TASK * RUN_SECONDS));
	}

	@Test
	void cancelledWorkIsCountedAsCancelled() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		runForSeconds(start);
		feed(new WorkflowEvent.CancelRequested("a"));
		reportEnd(start, RunOutcome.STOPPED);
		assertThat(coreSecondsByOutcome()).isEqualTo(Map.of(WorkOutcome.CANCELLED, CORES_PER_TASK * RUN_SECONDS));
	}

	@Test
	void preemptedWorkIsCountedAsGaveWay() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("less", 2, step(1, 8))).get(0);
		runForSeconds(start);
		reportRunning(start);
		feed(new WorkflowEvent.JobAccepted(job("urgent", 0, step(1, 8))));
		reportEnd(start, RunOutcome.STOPPED);
		assertThat(coreSecondsByOutcome()).containsOnlyKeys(WorkOutcome.GAVE_WAY);
	}

	// The report of the end contains a final checkpoint. Without it, the work since the
	// last reported checkpoint would be counted as lost.
	@Test
	void workSavedInAFinalCheckpointIsCountedAsKept() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, checkpointedStep(1, 1))).get(0);
		runForSeconds(start);
		feed(new WorkflowEvent.WorkerReported(new WorkerReport("t0", description(0, 1, true), 1, List.of(),
				List.of(new WorkerReport.Ended(++this.lastEndSequence, start.task(), start.run(), RunOutcome.STOPPED,
						"saved")))));
		assertThat(coreSecondsByOutcome()).isEqualTo(Map.of(WorkOutcome.KEPT, CORES_PER_TASK * RUN_SECONDS));
	}

	// The other member starts two seconds late. Until then the first one occupies its
	// resources without working; from then on both work.
	@Test
	void timeWaitingForTheGangIsCountedSeparately() {
		beginTerm(2);
		List<StartRun> starts = startsAfterAccepting(job("a", 2, gangStep(2, 8)));
		reportRunning(starts.get(0));
		this.now += 2_000;
		reportRunning(starts.get(1));
		this.now += 1_000;
		reportEnd(starts.get(0), RunOutcome.DONE);
		assertThat(coreSecondsByOutcome())
			.isEqualTo(Map.of(WorkOutcome.GANG_WAITED, 2.0 * 65, WorkOutcome.KEPT, 1.0 * 65));
	}

	@Test
	void gangLostToALeavingWorkerIsCountedAsWorkerLeft() {
		beginTerm(2);
		List<StartRun> starts = startsAfterAccepting(job("a", 2, gangStep(2, 8)));
		reportRunning(starts.get(0));
		reportRunning(starts.get(1));
		this.now += 1_000;
		reportIdle(Integer.parseInt(starts.get(1).target().substring(1)), true);
		reportEnd(starts.get(0), RunOutcome.BROKEN);
		assertThat(coreSecondsByOutcome()).containsOnlyKeys(WorkOutcome.WORKER_LEFT);
	}

	private void runForSeconds(StartRun start) {
		reportRunning(start);
		this.now += (long) (RUN_SECONDS * 1_000);
	}

	private Map<WorkOutcome, Double> coreSecondsByOutcome() {
		Map<WorkOutcome, Double> sums = new EnumMap<>(WorkOutcome.class);
		for (WorkflowCommand command : new ArrayList<>(this.commands)) {
			if (command instanceof WorkflowCommand.AccountWork work) {
				sums.merge(work.outcome(), work.coreSeconds(), Double::sum);
			}
		}
		return sums;
	}

}
