package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.WorkflowCommand.StartRun;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Each core-second of a run that is over counts once: as kept, or as lost for a reason.
 */
class WorkAccountTests extends SchedulerFixture {

	/** A core and one accelerator, which counts for eight. */
	private static final double CORES_A_TASK = 9;

	private static final double SECONDS = 5;

	@Test
	void whatIsDoneIsKept() {
		begin(1);
		StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		runFor(start);
		end(start, RunEnding.DONE);
		assertThat(account()).isEqualTo(Map.of(WorkOutcome.KEPT, CORES_A_TASK * SECONDS));
	}

	@Test
	void whatFailsIsLostAsAFailedTry() {
		begin(1);
		StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		runFor(start);
		end(start, RunEnding.FAILED);
		assertThat(account()).isEqualTo(Map.of(WorkOutcome.FAILED_TRY, CORES_A_TASK * SECONDS));
	}

	@Test
	void whatItsCallerCancelsIsLostAsCancelled() {
		begin(1);
		StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		runFor(start);
		feed(new WorkflowEvent.CancelRequested("a"));
		end(start, RunEnding.STOPPED);
		assertThat(account()).isEqualTo(Map.of(WorkOutcome.CANCELLED, CORES_A_TASK * SECONDS));
	}

	@Test
	void whatGivesWayIsLostAsSuch() {
		begin(1);
		StartRun start = startsOf(job("less", 2, step(1, 8))).get(0);
		runFor(start);
		run(start);
		feed(new WorkflowEvent.JobAccepted(job("urgent", 0, step(1, 8))));
		end(start, RunEnding.STOPPED);
		assertThat(account()).containsOnlyKeys(WorkOutcome.GAVE_WAY);
	}

	// The worker says at its end that it saved; only what came after the last checkpoint
	// that was heard of would be lost.
	@Test
	void whatWasSavedUpToItsEndIsKept() {
		begin(1);
		StartRun start = startsOf(job("a", 2, saving(1, 1))).get(0);
		runFor(start);
		feed(new WorkflowEvent.WorkerReported(new WorkerReport("t0", description(0, 1, true), 1, List.of(),
				List.of(new WorkerReport.Ended(++this.ends, start.task(), start.run(), RunEnding.STOPPED, "saved")))));
		assertThat(account()).isEqualTo(Map.of(WorkOutcome.KEPT, CORES_A_TASK * SECONDS));
	}

	// The other member comes two seconds late. Until then the first one holds its room
	// for nothing; from then on both work.
	@Test
	void aMemberThatWaitsForItsGangIsCountedApart() {
		begin(2);
		List<StartRun> starts = startsOf(job("a", 2, gang(2, 8)));
		run(starts.get(0));
		this.now += 2_000;
		run(starts.get(1));
		this.now += 1_000;
		end(starts.get(0), RunEnding.DONE);
		assertThat(account()).isEqualTo(Map.of(WorkOutcome.GANG_WAITED, 2.0 * 65, WorkOutcome.KEPT, 1.0 * 65));
	}

	@Test
	void aGangOfWhichAWorkerLeavesIsLostForThatReason() {
		begin(2);
		List<StartRun> starts = startsOf(job("a", 2, gang(2, 8)));
		run(starts.get(0));
		run(starts.get(1));
		this.now += 1_000;
		report(Integer.parseInt(starts.get(1).target().substring(1)), true);
		end(starts.get(0), RunEnding.BROKEN);
		assertThat(account()).containsOnlyKeys(WorkOutcome.WORKER_LEFT);
	}

	private void runFor(StartRun start) {
		run(start);
		this.now += (long) (SECONDS * 1_000);
	}

	private Map<WorkOutcome, Double> account() {
		Map<WorkOutcome, Double> sums = new EnumMap<>(WorkOutcome.class);
		for (WorkflowCommand command : new ArrayList<>(this.commands)) {
			if (command instanceof WorkflowCommand.AccountWork work) {
				sums.merge(work.outcome(), work.coreSeconds(), Double::sum);
			}
		}
		return sums;
	}

}
