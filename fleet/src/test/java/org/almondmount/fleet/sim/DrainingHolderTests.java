package org.almondmount.fleet.sim;

import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Entries are restarted gracefully, one after the other, while work runs.
 */
class DrainingHolderTests {

	/** How long an entry that gave up its term goes on to answer callers. */
	private static final long DRAIN_MILLIS = 1_500;

	/** After which every target has found a holder that is reachable. */
	private static final long FOUND_MILLIS = 500;

	private static final long LONG_RUN_MILLIS = 30_000;

	private static final String JOB = "00000000000000aa";

	private final FleetWorld world = new FleetWorld(5, 3, 5);

	@BeforeEach
	void runAJob() {
		this.world.checker().requireStopsInTime();
		this.world.runFor(3_000);
		this.world.submit(this.world.smallJob(JOB), LONG_RUN_MILLIS, false);
		this.world.runFor(1_000);
		assertThat(this.world.checker().starts()).isOne();
	}

	// Guards against runs that go on because the holder that took the cancel gave up its
	// term before the order to stop them arrived.
	@Test
	void aCancelledJobIsStoppedThoughTheHolderThatTookTheCancelDrains() {
		this.world.theHolder().drain(DRAIN_MILLIS);
		this.world.runFor(1_000);
		CompletableFuture<JobAnswer> cancel = this.world.theHolder().cancel(JOB);
		this.world.onAnswer(JOB, cancel);
		this.world.runFor(450);
		this.world.theHolder().drain(DRAIN_MILLIS);
		this.world.runFor(10_000);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
		assertThat(this.world.checker().broken()).isEmpty();
	}

	// Guards against targets that stay with an entry that gave up its term, out of reach
	// of the next holder.
	@Test
	void aHolderReachesItsTargetsWhileTheFormerOneStillDrains() {
		this.world.theHolder().drain(10_000);
		this.world.runFor(FOUND_MILLIS);
		Workflow job = this.world.smallJob("00000000000000bb");
		this.world.submit(job, 500, false);
		this.world.runFor(FOUND_MILLIS);
		assertThat(this.world.checker().starts()).isEqualTo(2);
	}

	// Guards against a term that nobody holds because its entry began to drain while its
	// commit was on the way.
	@Test
	void anEntryThatDrainsWhileItTakesTheTermLeavesItToAnother() {
		long before = this.world.epoch();
		this.world.theHolder().drain(DRAIN_MILLIS);
		while (this.world.epoch() == before) {
			this.world.runFor(1);
		}
		this.world.theHolder().drain(10_000);
		this.world.runFor(FOUND_MILLIS);
		assertThat(this.world.theHolder().serves()).isTrue();
	}

	// Guards against callers that wait for a holder that gave up its term.
	@Test
	void aCancelThatADrainingHolderCannotKeepIsAnsweredWithoutDelay() {
		FleetWorld.EntryProcess former = this.world.theHolder();
		former.drain(DRAIN_MILLIS);
		CompletableFuture<JobAnswer> cancel = former.cancel(JOB);
		this.world.onAnswer(JOB, cancel);
		this.world.runFor(FOUND_MILLIS);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
		this.world.runFor(5_000);
		assertThat(this.world.checker().broken()).isEmpty();
	}

}
