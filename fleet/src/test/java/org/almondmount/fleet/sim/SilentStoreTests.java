package org.almondmount.fleet.sim;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.Submission;
import org.almondmount.intake.IntakeRefusal;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SilentStoreTests {

	private final FleetSimulation simulation = new FleetSimulation(9, 3, 3);

	// The store answers nobody for a long time. A job that was sent to it can no longer
	// be refused, and many callers may not submit it again after that. So only the first
	// job, which detects the outage, ends without an answer; later callers are refused at
	// once, with certainty that their job has not run, however long the outage lasts.
	@Test
	void noJobIsUsedToProbeASilentStore() {
		this.simulation.runFor(4_000);
		this.simulation.entries().forEach((entry) -> entry.cutFromStore(60_000));
		this.simulation.runFor(100);
		submit("a0");
		this.simulation.runFor(3_000);
		for (int i = 1; i < 9; i++) {
			CompletableFuture<Submission> outcome = submit("a" + i);
			this.simulation.runFor(1_000);
			assertThat(outcome).isCompletedWithValueMatching(Submission.Refused.class::isInstance);
		}
	}

	@Test
	void jobsAreAcceptedSoonAfterTheStoreAnswersAgain() {
		this.simulation.runFor(4_000);
		this.simulation.entries().forEach((entry) -> entry.cutFromStore(5_000));
		this.simulation.runFor(100);
		submit("a0");
		this.simulation.runFor(6_500);
		CompletableFuture<Submission> outcome = submit("a1");
		this.simulation.runFor(100);
		assertThat(outcome).isCompletedWithValue(new Submission.Accepted());
	}

	// The first job is sent before the outage is detected, so it cannot be refused. Its
	// caller allows 2.5 s and would use up all its attempts within one second if the
	// unknown outcome were reported at once. The store answers again after 2 s.
	@Test
	void aJobSentToASilentStoreIsAnsweredWithinItsCallersTimeout() {
		this.simulation.runFor(4_000);
		this.simulation.entries().forEach((entry) -> entry.cutFromStore(2_000));
		CompletableFuture<Submission> outcome = submit("a0");
		this.simulation.runFor(1_900);
		assertThat(outcome).isNotCompleted();
		this.simulation.runFor(500);
		assertThat(outcome).isCompletedWithValue(new Submission.Accepted());
	}

	// The store does not answer the entry that received the job, but answers the others.
	// This entry cannot determine the outcome; another entry stores the job.
	@Test
	void aJobThatTheStoreDoesNotAnswerIsStoredThroughAnotherEntry() {
		this.simulation.runFor(4_000);
		this.simulation.entries().get(0).cutFromStore(10_000);
		CompletableFuture<Submission> outcome = submit("a0");
		this.simulation.runFor(1_200);
		assertThat(outcome).isCompletedWithValue(new Submission.Accepted());
	}

	// A job that was not sent to the store waits for a third of its caller's timeout.
	@Test
	void aJobThatArrivesJustBeforeTheStoreRecoversIsAcceptedAtTheFirstAttempt() {
		this.simulation.runFor(4_000);
		this.simulation.entries().forEach((entry) -> entry.cutFromStore(3_000));
		submit("a0");
		this.simulation.runFor(2_500);
		CompletableFuture<Submission> outcome = submit("a1");
		this.simulation.runFor(790);
		assertThat(outcome).isCompletedWithValue(new Submission.Accepted());
	}

	@Test
	void aRefusalStatesItsReasonAndTheRetryDelay() {
		this.simulation.runFor(4_000);
		this.simulation.entries().forEach((entry) -> entry.cutFromStore(60_000));
		submit("a0");
		this.simulation.runFor(3_000);
		CompletableFuture<Submission> outcome = submit("a1");
		this.simulation.runFor(1_000);
		assertThat(outcome).isCompletedWithValue(new Submission.Refused(IntakeRefusal.STORE_SILENT, Duration.ZERO));
	}

	// Guards against losing one caller per entry to a job that can be neither stored nor
	// refused.
	@Test
	void anEntryInformedOfASilentStoreSendsNoJobToIt() {
		this.simulation.runFor(4_000);
		this.simulation.entries().forEach((entry) -> entry.cutFromStore(60_000));
		this.simulation.runFor(100);
		submit("a0");
		this.simulation.runFor(1_200);
		CompletableFuture<Submission> outcome = submitTo(1, "a1");
		this.simulation.runFor(1_500);
		assertThat(outcome).isCompletedWithValue(new Submission.Refused(IntakeRefusal.STORE_SILENT, Duration.ZERO));
	}

	// Guards against entries that stop writing because another entry is disconnected from
	// the store.
	@Test
	void anEntryThatReachesTheStoreAcceptsJobsWhileAnotherIsCutOff() {
		this.simulation.runFor(4_000);
		this.simulation.entries().get(0).cutFromStore(60_000);
		this.simulation.runFor(100);
		submit("a0");
		for (int i = 1; i < 20; i++) {
			CompletableFuture<Submission> outcome = submitTo(1, "a" + i);
			this.simulation.runFor(100);
			assertThat(outcome).isCompletedWithValue(new Submission.Accepted());
		}
	}

	// Guards against a job that is lost because the holder, which its entry forwards it
	// to, is disconnected from the store too.
	@Test
	void aJobIsStoredThroughAnEntryThatReachesTheStoreWhereTheHolderDoesNot() {
		this.simulation.runFor(4_000);
		FleetSimulation.EntryProcess asked = this.simulation.nonHolder();
		this.simulation.holder().cutFromStore(10_000);
		asked.cutFromStore(10_000);
		CompletableFuture<Submission> outcome = submitTo(this.simulation.entries().indexOf(asked), "a0");
		this.simulation.runFor(1_600);
		assertThat(outcome).isCompletedWithValue(new Submission.Accepted());
	}

	private CompletableFuture<Submission> submit(String id) {
		return submitTo(0, id);
	}

	private CompletableFuture<Submission> submitTo(int entry, String id) {
		Workflow job = this.simulation.smallJob(id);
		this.simulation.checker().registerJob(job, 500, false);
		return this.simulation.entries().get(entry).submit(job);
	}

}
