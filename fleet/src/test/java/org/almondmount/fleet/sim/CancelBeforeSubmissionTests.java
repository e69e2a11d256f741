package org.almondmount.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Submission;
import org.almondmount.fleet.Tables;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A job is cancelled while its submission has not reached the store.
 */
class CancelBeforeSubmissionTests {

	private static final String JOB = "00000000000000aa";

	/** Time after which a write without an answer is executed. */
	private static final long LATE_WRITE_MILLIS = 6_000;

	private final FleetSimulation simulation = new FleetSimulation(5, 3, 5);

	private Workflow job;

	@BeforeEach
	void start() {
		this.simulation.runFor(3_000);
		this.job = this.simulation.smallJob(JOB);
		this.simulation.checker().registerJob(this.job, 500, false);
		this.simulation.checker().recordSubmission(JOB);
	}

	// Guards against a job that runs although its cancellation was answered: the write of
	// its submission is executed after the cancellation.
	@Test
	void aJobWhoseSubmissionReachesTheStoreAfterItsCancellationDoesNotRun() {
		submitWithALateWrite();
		assertThat(cancelAt(this.simulation.holder())).isInstanceOf(JobAnswer.NoSuchJob.class);
		this.simulation.runFor(2 * LATE_WRITE_MILLIS);
		assertCancelledAndNeverStarted();
	}

	// Guards against a cancellation that only the holder of that time knows.
	@Test
	void theCancellationIsKeptWhenAllEntriesRestartBeforeTheLateWrite() {
		submitWithALateWrite();
		cancelAt(this.simulation.nonHolder());
		this.simulation.entries().forEach(FleetSimulation.SimulatedProcess::kill);
		this.simulation.runFor(2 * LATE_WRITE_MILLIS);
		assertCancelledAndNeverStarted();
	}

	// Guards against a submission that is repeated at another entry after the
	// cancellation was answered.
	@Test
	void aSubmissionThatIsRepeatedAfterTheCancellationStaysCancelled() {
		submitWithALateWrite();
		cancelAt(this.simulation.nonHolder());
		for (FleetSimulation.EntryProcess entry : this.simulation.entries()) {
			assertThat(answerTo(entry.submit(this.job))).isInstanceOf(Submission.Accepted.class);
		}
		this.simulation.runFor(2 * LATE_WRITE_MILLIS);
		assertCancelledAndNeverStarted();
	}

	// Guards against an answer that nothing in the store supports.
	@Test
	void aCancellationThatIsNotStoredIsNotAnswered() {
		submitWithALateWrite();
		this.simulation.store().setUnavailable(true);
		assertThat(cancelAt(this.simulation.nonHolder())).isInstanceOf(JobAnswer.Unavailable.class);
	}

	// Guards against rows of cancellations that accumulate because their jobs never come.
	@Test
	void cancellationsOfUnknownJobsAreRemovedAfterTheRetentionTime() {
		this.simulation.store().put(Tables.INTAKE, "job/0", "{\"steps\":[]}");
		for (int i = 0; i < 5; i++) {
			this.simulation.nonHolder().cancel(Integer.toString(i));
		}
		this.simulation.runFor(FleetSimulation.ENDED_JOB_RETENTION.toMillis() / 2);
		assertThat(this.simulation.store().rowCount(Tables.INTAKE)).isEqualTo(6);
		this.simulation.runFor(FleetSimulation.ENDED_JOB_RETENTION.toMillis());
		assertThat(this.simulation.store().rowCount(Tables.INTAKE)).isEqualTo(2);
	}

	// Guards against a caller that fills the store with cancellations.
	@Test
	void cancellationsOfTooManyUnknownJobsAreRefused() {
		List<CompletableFuture<JobAnswer>> answers = new ArrayList<>();
		for (int i = 0; i < 200; i++) {
			answers.add(this.simulation.nonHolder().cancel(Integer.toString(i)));
		}
		this.simulation.runFor(1_000);
		assertThat(answers).allMatch(CompletableFuture::isDone)
			.filteredOn((answer) -> answer.join() instanceof JobAnswer.Unavailable)
			.hasSizeGreaterThan(150);
		assertThat(this.simulation.store().rowCount(Tables.INTAKE)).isLessThan(50);
	}

	private void submitWithALateWrite() {
		this.simulation.store().delayCommitsWithoutAnswer(LATE_WRITE_MILLIS);
		CompletableFuture<Submission> submission = this.simulation.nonHolder().submit(this.job);
		this.simulation.runFor(10);
		this.simulation.store().delayCommitsWithoutAnswer(0);
		assertThat(submission).isNotDone();
		this.simulation.nonHolder().kill();
		this.simulation.runFor(1_500);
	}

	private JobAnswer cancelAt(FleetSimulation.EntryProcess entry) {
		CompletableFuture<JobAnswer> cancel = entry.cancel(JOB);
		this.simulation.recordCancellationOnAnswer(JOB, cancel);
		return answerTo(cancel);
	}

	private <T> T answerTo(CompletableFuture<T> answer) {
		this.simulation.runFor(2_500);
		assertThat(answer).isCompleted();
		return answer.join();
	}

	private void assertCancelledAndNeverStarted() {
		assertThat(this.simulation.checker().startCount()).isZero();
		assertThat(this.simulation.checker().violations()).isEmpty();
		CompletableFuture<JobAnswer> phase = this.simulation.nonHolder().phase(JOB);
		assertThat(answerTo(phase)).isEqualTo(new JobAnswer.Known(JobPhase.CANCELLED));
	}

}
