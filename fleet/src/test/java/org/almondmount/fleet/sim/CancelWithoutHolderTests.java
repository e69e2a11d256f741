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
	private static final long UNTIL_KNOWN_MILLIS = 5_000;

	// The caller is told that its job is accepted, then that it is cancelled. The holder
	// finds both rows when it looks at the intake, the cancel first. It took no note of a
	// cancel whose job it did not know yet, and the job ran.
	@Test
	void aCancelledJobDoesNotRunThoughItsCancelIsReadFirst() {
		FleetWorld world = new FleetWorld(5, 3, 5);
		world.runFor(3_000);
		FleetWorld.EntryProcess apart = world.anyButTheHolder();
		apart.cut(60_000);
		world.runFor(UNTIL_KNOWN_MILLIS);
		Workflow job = world.smallJob("00000000000000aa");
		world.checker().submit(job, 500, false);
		CompletableFuture<Submission> handedIn = apart.submit(job);
		world.runFor(20);
		CompletableFuture<JobAnswer> cancel = apart.cancel(job.id());
		world.runFor(10_000);
		assertThat(handedIn).isCompletedWithValueMatching(Submission.Accepted.class::isInstance);
		assertThat(cancel).isCompletedWithValue(new JobAnswer.Known(JobPhase.CANCELLED));
		assertThat(world.checker().starts()).isZero();
		assertThat(world.checker().broken()).isEmpty();
	}

}
