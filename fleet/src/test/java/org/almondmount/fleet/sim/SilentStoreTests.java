package org.almondmount.fleet.sim;

import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.Submission;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SilentStoreTests {

	private final FleetWorld world = new FleetWorld(9, 3, 3);

	// The store answers nobody for a long time. A job that is sent to it can no longer be
	// refused, and many callers may not hand it in again after that. So only the first
	// one,
	// which finds out, ends so; later ones hear at once that they have not run, however
	// long it lasts.
	@Test
	void noJobIsSentToFindOutWhetherTheStoreAnswersAgain() {
		this.world.runFor(4_000);
		this.world.entries().forEach((entry) -> entry.cutFromStore(60_000));
		this.world.runFor(100);
		submit("a0");
		this.world.runFor(3_000);
		for (int i = 1; i < 9; i++) {
			CompletableFuture<Submission> outcome = submit("a" + i);
			this.world.runFor(1_000);
			assertThat(outcome).isCompletedWithValue(Submission.REFUSED);
		}
	}

	@Test
	void jobsAreAcceptedSoonAfterTheStoreAnswersAgain() {
		this.world.runFor(4_000);
		this.world.entries().forEach((entry) -> entry.cutFromStore(5_000));
		this.world.runFor(100);
		submit("a0");
		this.world.runFor(6_500);
		CompletableFuture<Submission> outcome = submit("a1");
		this.world.runFor(100);
		assertThat(outcome).isCompletedWithValue(Submission.ACCEPTED);
	}

	private CompletableFuture<Submission> submit(String id) {
		Workflow job = this.world.smallJob(id);
		this.world.checker().submit(job, 500, false);
		return this.world.entries().get(0).submit(job);
	}

}
