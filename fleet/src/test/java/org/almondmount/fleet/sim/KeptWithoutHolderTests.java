package org.almondmount.fleet.sim;

import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What an entry keeps in the store while it reaches no holder.
 */
class KeptWithoutHolderTests {

	private static final String JOB = "00000000000000aa";

	/** By then the next holder has loaded what is kept, and each entry knows it. */
	private static final long HANDED_OVER_MILLIS = 500;

	// Guards against a cancel that counts late because the one look at the store that
	// would have found it failed.
	@ParameterizedTest
	@CsvSource({ "1100, 1800", "1200, 1700", "1300, 1700", "1400, 1600", "1500, 1400", "1600, 1400" })
	void aCancelCountsInTimeThoughTheHolderIsCutFromTheStoreForAMoment(long cancelAfter, long cutAfter) {
		FleetWorld world = new FleetWorld(5, 3, 5);
		world.checker().requireStopsInTime();
		world.runFor(3_000);
		world.submit(world.smallJob(JOB), 30_000, false);
		world.runFor(1_000);
		FleetWorld.EntryProcess apart = world.anyButTheHolder();
		apart.cut(60_000);
		world.runFor(5_000 + cancelAfter);
		CompletableFuture<JobAnswer> cancel = apart.cancel(JOB);
		world.onAnswer(JOB, cancel);
		world.runFor(20 + cutAfter);
		world.theHolder().cutFromStore(250);
		world.runFor(10_000);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
		assertThat(world.checker().broken()).isEmpty();
	}

	// Guards against a job that begins late because it was accepted while there was no
	// holder to notify.
	@ParameterizedTest
	@ValueSource(longs = { 0, 4, 8, 12, 16, 20, 24, 28, 32, 40 })
	void aJobThatIsAcceptedWhileTheTermChangesHandsBeginsAtOnce(long afterRelease) {
		for (int entry = 0; entry < 3; entry++) {
			FleetWorld world = new FleetWorld(16, 3, 5);
			world.runFor(4_112);
			world.theHolder().drain(1_500);
			world.runFor(afterRelease);
			Workflow job = world.smallJob(JOB);
			world.checker().submit(job, 500, false);
			world.entries().get(entry).submit(job);
			world.runFor(HANDED_OVER_MILLIS);
			assertThat(world.checker().starts()).as("through entry " + entry).isOne();
		}
	}

	// Guards against callers that wait for the answer of a holder that is gone.
	@Test
	void aCancelIsAnsweredWithoutDelayThoughTheHolderDies() {
		FleetWorld world = new FleetWorld(5, 3, 5);
		world.runFor(3_000);
		world.submit(world.smallJob(JOB), 30_000, false);
		world.runFor(1_000);
		CompletableFuture<JobAnswer> cancel = world.anyButTheHolder().cancel(JOB);
		world.runFor(2);
		world.theHolder().kill();
		world.runFor(HANDED_OVER_MILLIS);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
	}

}
