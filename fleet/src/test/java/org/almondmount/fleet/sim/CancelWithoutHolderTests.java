package org.almondmount.fleet.sim;

import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Submission;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An entry that is disconnected from the holder but not from the store accepts a job and
 * its cancellation.
 */
class CancelWithoutHolderTests {

	/** Time after which the entry has detected that it cannot reach the holder. */
	private static final long DETECTION_MILLIS = 5_000;

	// Guards against a cancelled job that runs. The caller receives the acceptance of the
	// job, then that of its cancellation. The holder finds both rows when it reads the
	// intake table, the cancellation first, and must not drop it because its job is still
	// unknown.
	@Test
	void aCancelledJobDoesNotRunThoughItsCancelIsReadFirst() {
		FleetSimulation simulation = new FleetSimulation(5, 3, 5);
		simulation.runFor(3_000);
		FleetSimulation.EntryProcess isolatedEntry = simulation.nonHolder();
		isolatedEntry.cutFromNetwork(60_000);
		simulation.runFor(DETECTION_MILLIS);
		Workflow job = simulation.smallJob("00000000000000aa");
		simulation.checker().registerJob(job, 500, false);
		CompletableFuture<Submission> submission = isolatedEntry.submit(job);
		simulation.runFor(20);
		CompletableFuture<JobAnswer> cancel = isolatedEntry.cancel(job.id());
		simulation.runFor(10_000);
		assertThat(submission).isCompletedWithValueMatching(Submission.Accepted.class::isInstance);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
		assertThat(simulation.checker().startCount()).isZero();
		assertThat(simulation.checker().violations()).isEmpty();
	}

}
