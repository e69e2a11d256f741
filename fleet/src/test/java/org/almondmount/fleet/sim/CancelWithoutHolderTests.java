package org.almondmount.fleet.sim;

import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Submission;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An entry that is cut off from the holder and not from the store takes a job and its
 * cancel.
 */
class CancelWithoutHolderTests {

	/** After which the entry knows that it does not reach the holder. */
	private static final long DETECTION_MILLIS = 5_000;

	// The caller is told that its job is accepted, then that it is cancelled. The holder
	// finds both rows when it looks at the intake, the cancel first. It took no note of a
	// cancel whose job it did not know yet, and the job ran.
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
