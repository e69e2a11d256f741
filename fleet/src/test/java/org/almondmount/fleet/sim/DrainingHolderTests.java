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

	/** Time for which an entry that released its term continues to answer callers. */
	private static final long DRAIN_MILLIS = 1_500;

	/** Time after which every target has found a reachable holder. */
	private static final long HOLDER_DISCOVERY_MILLIS = 500;

	private static final long LONG_RUN_MILLIS = 30_000;

	private static final String JOB = "00000000000000aa";

	private final FleetSimulation simulation = new FleetSimulation(5, 3, 5);

	@BeforeEach
	void runJob() {
		this.simulation.checker().requireStopsInTime();
		this.simulation.runFor(3_000);
		this.simulation.submit(this.simulation.smallJob(JOB), LONG_RUN_MILLIS, false);
		this.simulation.runFor(1_000);
		assertThat(this.simulation.checker().startCount()).isOne();
	}

	// Guards against runs that continue because the holder that received the cancellation
	// released its term before the stop command arrived.
	@Test
	void aCancelledJobIsStoppedThoughTheHolderThatTookTheCancelDrains() {
		this.simulation.holder().drain(DRAIN_MILLIS);
		this.simulation.runFor(1_000);
		CompletableFuture<JobAnswer> cancel = this.simulation.holder().cancel(JOB);
		this.simulation.recordCancellationOnAnswer(JOB, cancel);
		this.simulation.runFor(450);
		this.simulation.holder().drain(DRAIN_MILLIS);
		this.simulation.runFor(10_000);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
		assertThat(this.simulation.checker().violations()).isEmpty();
	}

	// Guards against targets that stay connected to an entry that released its term, out
	// of reach of the next holder.
	@Test
	void aHolderReachesItsTargetsWhileTheFormerOneStillDrains() {
		this.simulation.holder().drain(10_000);
		this.simulation.runFor(HOLDER_DISCOVERY_MILLIS);
		Workflow job = this.simulation.smallJob("00000000000000bb");
		this.simulation.submit(job, 500, false);
		this.simulation.runFor(HOLDER_DISCOVERY_MILLIS);
		assertThat(this.simulation.checker().startCount()).isEqualTo(2);
	}

	// Guards against a term without a holder because its entry began to drain while its
	// commit was in flight.
	@Test
	void anEntryThatDrainsWhileItTakesTheTermLeavesItToAnother() {
		long epochBefore = this.simulation.epoch();
		this.simulation.holder().drain(DRAIN_MILLIS);
		while (this.simulation.epoch() == epochBefore) {
			this.simulation.runFor(1);
		}
		this.simulation.holder().drain(10_000);
		this.simulation.runFor(HOLDER_DISCOVERY_MILLIS);
		assertThat(this.simulation.holder().isServing()).isTrue();
	}

	// Guards against callers that wait for a holder that released its term.
	@Test
	void aCancelThatADrainingHolderCannotStoreIsAnsweredWithoutDelay() {
		FleetSimulation.EntryProcess former = this.simulation.holder();
		former.drain(DRAIN_MILLIS);
		CompletableFuture<JobAnswer> cancel = former.cancel(JOB);
		this.simulation.recordCancellationOnAnswer(JOB, cancel);
		this.simulation.runFor(HOLDER_DISCOVERY_MILLIS);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
		this.simulation.runFor(5_000);
		assertThat(this.simulation.checker().violations()).isEmpty();
	}

}
