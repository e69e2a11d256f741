package org.almondmount.fleet.sim;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Jobs and cancellations that an entry stores while it cannot reach a holder.
 */
class StoredWithoutHolderTests {

	private static final String JOB = "00000000000000aa";

	/**
	 * Time by which the next holder has loaded the stored rows and each entry knows that
	 * holder.
	 */
	private static final long MAX_HANDOVER_MILLIS = 500;

	// Guards against a cancellation that takes effect late because the only read of the
	// store that would have found it failed.
	@ParameterizedTest
	@CsvSource({ "1100, 1800", "1200, 1700", "1300, 1700", "1400, 1600", "1500, 1400", "1600, 1400" })
	void aCancelTakesEffectInTimeThoughTheHolderBrieflyLosesTheStore(long cancelDelayMillis, long cutDelayMillis) {
		FleetSimulation simulation = new FleetSimulation(5, 3, 5);
		simulation.checker().requireStopsInTime();
		simulation.runFor(3_000);
		simulation.submit(simulation.smallJob(JOB), 30_000, false);
		simulation.runFor(1_000);
		FleetSimulation.EntryProcess isolatedEntry = simulation.nonHolder();
		isolatedEntry.cutFromNetwork(60_000);
		simulation.runFor(5_000 + cancelDelayMillis);
		CompletableFuture<JobAnswer> cancel = isolatedEntry.cancel(JOB);
		simulation.recordCancellationOnAnswer(JOB, cancel);
		simulation.runFor(20 + cutDelayMillis);
		simulation.holder().cutFromStore(250);
		simulation.runFor(10_000);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
		assertThat(simulation.checker().violations()).isEmpty();
	}

	// Guards against a job that starts late because it was accepted while there was no
	// holder to notify.
	@ParameterizedTest
	@ValueSource(longs = { 0, 4, 8, 12, 16, 20, 24, 28, 32, 40 })
	void aJobAcceptedDuringATermChangeStartsImmediately(long millisAfterRelease) {
		for (int entry = 0; entry < 3; entry++) {
			FleetSimulation simulation = new FleetSimulation(16, 3, 5);
			simulation.runFor(4_112);
			simulation.holder().drain(1_500);
			simulation.runFor(millisAfterRelease);
			Workflow job = simulation.smallJob(JOB);
			simulation.checker().registerJob(job, 500, false);
			simulation.entries().get(entry).submit(job);
			simulation.runFor(MAX_HANDOVER_MILLIS);
			assertThat(simulation.checker().startCount()).as("through entry " + entry).isOne();
		}
	}

	// Guards against a job that runs in another queue, or with other content, than
	// stored:
	// the entry that stored it was lost before it could notify the holder, and a repeated
	// submission reached the holder before it read the store.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aRepeatedSubmissionDoesNotReplaceTheStoredJob(boolean throughHolder) {
		FleetSimulation simulation = new FleetSimulation(5, 3, 5);
		simulation.runFor(3_000);
		Workflow stored = simulation.smallJob(JOB);
		simulation.checker().registerJob(stored, 500, false);
		simulation.store().put(Tables.INTAKE, Tables.job(JOB).key(), RecordCodec.write(stored));
		Step twoTasks = new Step(2, stored.steps().get(0).demand(), 1_000, List.of(), false, false,
				Step.Placement.ANYWHERE, false, Step.ServiceSpec.NONE);
		FleetSimulation.EntryProcess entry = throughHolder ? simulation.holder() : simulation.nonHolder();
		entry.submit(new Workflow(JOB, "q2", "two", "p", List.of(twoTasks), Workflow.Schedule.ONCE,
				stored.acceptedAtMillis()));
		simulation.runFor(MAX_HANDOVER_MILLIS);
		assertThat(simulation.checker().startCount()).isOne();
		assertThat(simulation.checker().violations()).isEmpty();
	}

	// Guards against callers that wait for the answer of a holder that is down.
	@Test
	void aCancelIsAnsweredWithoutDelayThoughTheHolderDies() {
		FleetSimulation simulation = new FleetSimulation(5, 3, 5);
		simulation.runFor(3_000);
		simulation.submit(simulation.smallJob(JOB), 30_000, false);
		simulation.runFor(1_000);
		CompletableFuture<JobAnswer> cancel = simulation.nonHolder().cancel(JOB);
		simulation.runFor(2);
		simulation.holder().kill();
		simulation.runFor(MAX_HANDOVER_MILLIS);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
	}

}
