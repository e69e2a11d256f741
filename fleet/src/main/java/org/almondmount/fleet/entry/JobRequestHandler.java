package org.almondmount.fleet.entry;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.almondmount.fleet.AdaptiveStoreTimeout;
import org.almondmount.fleet.EventLoop;
import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Submission;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.rows.RowStore;
import org.almondmount.rows.RowStore.Condition;
import org.almondmount.rows.RowStore.Place;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.rows.RowStore.Write;
import org.almondmount.services.util.RateLimiter;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.Message;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobRecord;

/**
 * Answers queries of callers and other entries about jobs, from the memory of the holder
 * or from the store. Confined to the event loop thread.
 */
final class JobRequestHandler {

	private static final EventLog LOG = EventLog.named("FrontDesk");

	/** Delay before a store call is repeated, in milliseconds. */
	private static final long STORE_RETRY_DELAY_MILLIS = 60;

	/** A cancellation waits for a commit of the holder. */
	private static final long CANCEL_TIMEOUT_MILLIS = 1_500;

	/**
	 * Cancellations of unknown jobs that are stored in a second: more than a crowd of
	 * callers gives up whose submissions are still on their way.
	 */
	private static final int MAX_UNKNOWN_CANCELS_PER_SECOND = 20;

	/** Cancellations that were not kept, by reason. */
	private static final String REFUSED_CANCELS_METRIC = "cancels.refused";

	/** Maximum age of a cached count. */
	private static final long MAX_COUNT_AGE_MILLIS = 800;

	private final RowStore store;

	private final EventLoop loop;

	private final AdaptiveStoreTimeout storeTimeout;

	private final SchedulerDriver schedulerDriver;

	private final EntryCalls calls;

	private final JobIntake intake;

	private final Telemetry telemetry;

	private final RateLimiter unknownCancels;

	private final Map<String, Count> counts = new HashMap<>();

	JobRequestHandler(RowStore store, EventLoop loop, AdaptiveStoreTimeout storeTimeout,
			SchedulerDriver schedulerDriver, EntryCalls calls, JobIntake intake, Telemetry telemetry) {
		this.store = store;
		this.loop = loop;
		this.storeTimeout = storeTimeout;
		this.schedulerDriver = schedulerDriver;
		this.calls = calls;
		this.intake = intake;
		this.telemetry = telemetry;
		this.unknownCancels = new RateLimiter(MAX_UNKNOWN_CANCELS_PER_SECOND,
				() -> TimeUnit.MILLISECONDS.toNanos(loop.steadyMillis()));
		telemetry.declare(REFUSED_CANCELS_METRIC, CancelRefusal.class);
	}

	CompletableFuture<JobAnswer> phase(String job, long timeoutMillis) {
		CompletableFuture<JobAnswer> outcome = new CompletableFuture<>();
		if (this.schedulerDriver.mayDecide()) {
			Optional<JobPhase> phase = this.schedulerDriver.phase(job);
			if (phase.isPresent()) {
				outcome.complete(new JobAnswer.Known(phase.get(), this.schedulerDriver.failureMessage(job)));
				return outcome;
			}
		}
		long deadlineMillis = this.loop.steadyMillis() + timeoutMillis;
		this.loop.onCompletion(
				this.calls.callHolder(EntryCalls.PHASE, job, new byte[0], EntryCalls.HOLDER_TIMEOUT_MILLIS),
				(answer) -> {
					if (answer.isPresent() && answer.get().status() == EntryCalls.OK) {
						String reason = answer.get().headers().getOrDefault(EntryCalls.REASON_HEADER, "");
						outcome.complete(new JobAnswer.Known(JobPhase.valueOf(text(answer.get().body())), reason));
						return;
					}
					readPhase(job, deadlineMillis, outcome);
				});
		return outcome;
	}

	CompletableFuture<JobAnswer> cancel(String job, long timeoutMillis) {
		CompletableFuture<JobAnswer> outcome = new CompletableFuture<>();
		long deadlineMillis = this.loop.steadyMillis() + timeoutMillis;
		if (this.schedulerDriver.mayDecide() && this.schedulerDriver.phase(job).isPresent()) {
			this.schedulerDriver.cancel(job, (persisted) -> onCancelEnded(job, persisted, deadlineMillis, outcome));
			return outcome;
		}
		this.loop.onCompletion(this.calls.callHolder(EntryCalls.CANCEL, job, new byte[0],
				Math.min(CANCEL_TIMEOUT_MILLIS, timeoutMillis)), (answer) -> {
					boolean persisted = answer.isPresent() && answer.get().status() == EntryCalls.OK;
					onCancelEnded(job, persisted, deadlineMillis, outcome);
				});
		return outcome;
	}

	CompletableFuture<OptionalInt> queuedJobCount(String queue) {
		CompletableFuture<OptionalInt> outcome = new CompletableFuture<>();
		if (this.schedulerDriver.mayDecide()) {
			outcome.complete(OptionalInt.of(this.schedulerDriver.queuedJobCount(queue)));
			return outcome;
		}
		Count known = this.counts.get(queue);
		if (known != null && this.loop.steadyMillis() - known.atMillis() <= MAX_COUNT_AGE_MILLIS) {
			outcome.complete(OptionalInt.of(known.count()));
			return outcome;
		}
		this.loop.onCompletion(
				this.calls.callHolder(EntryCalls.WAITING, queue, new byte[0], EntryCalls.HOLDER_TIMEOUT_MILLIS),
				(answer) -> {
					if (answer.isEmpty() || answer.get().status() != EntryCalls.OK) {
						outcome.complete(OptionalInt.empty());
						return;
					}
					int count = Integer.parseInt(text(answer.get().body()));
					this.counts.put(queue, new Count(count, this.loop.steadyMillis()));
					outcome.complete(OptionalInt.of(count));
				});
		return outcome;
	}

	/**
	 * Handles a call of another entry.
	 * @param call the call
	 * @return the answer
	 */
	CompletableFuture<Answer> handleCall(Message.Forward call) {
		return switch (call.method()) {
			case EntryCalls.ACCEPTED ->
				onNotification(() -> this.schedulerDriver.onJobAccepted(RecordCodec.readWorkflow(text(call.body()))));
			case EntryCalls.CANCEL_PERSISTED ->
				onNotification(() -> this.schedulerDriver.onCancelPersisted(call.path()));
			case EntryCalls.SUBMIT -> this.intake.submitForPeer(RecordCodec.readWorkflow(text(call.body())))
				.thenApply((outcome) -> new Answer(statusOf(outcome), ""));
			case EntryCalls.PHASE -> answerPhase(call.path());
			case EntryCalls.CANCEL -> answerCancel(call.path());
			case EntryCalls.WAITING -> this.schedulerDriver.mayDecide()
					? completed(EntryCalls.OK, Integer.toString(this.schedulerDriver.queuedJobCount(call.path())))
					: completed(EntryCalls.UNAVAILABLE, "");
			default -> completed(EntryCalls.UNAVAILABLE, "");
		};
	}

	// A holder that is still loading may have read the store before the row was written.
	private CompletableFuture<Answer> onNotification(Runnable notification) {
		if (!this.schedulerDriver.mayDecide()) {
			return completed(EntryCalls.UNAVAILABLE, "");
		}
		notification.run();
		return completed(EntryCalls.OK, "");
	}

	private CompletableFuture<Answer> answerPhase(String job) {
		if (!this.schedulerDriver.mayDecide()) {
			return completed(EntryCalls.UNAVAILABLE, "");
		}
		return this.schedulerDriver.phase(job)
			.map((phase) -> CompletableFuture.completedFuture(new Answer(EntryCalls.OK, phase.name(),
					Map.of(EntryCalls.REASON_HEADER, this.schedulerDriver.failureMessage(job)))))
			.orElseGet(() -> completed(EntryCalls.UNKNOWN_JOB, ""));
	}

	private CompletableFuture<Answer> answerCancel(String job) {
		if (!this.schedulerDriver.mayDecide()) {
			return completed(EntryCalls.UNAVAILABLE, "");
		}
		if (this.schedulerDriver.phase(job).isEmpty()) {
			return completed(EntryCalls.UNKNOWN_JOB, "");
		}
		CompletableFuture<Answer> answer = new CompletableFuture<>();
		this.schedulerDriver.cancel(job,
				(persisted) -> answer.complete(new Answer(persisted ? EntryCalls.OK : EntryCalls.UNSETTLED, "")));
		return answer;
	}

	private void readPhase(String job, long deadlineMillis, CompletableFuture<JobAnswer> outcome) {
		Place progress = Tables.progress(job);
		this.loop.onCompletion(this.store.read(progress.table(), progress.key(), 1, this.storeTimeout.timeout()),
				(read) -> {
					if (!(read instanceof RowStore.Read.Found found)) {
						retryOrUnavailable(deadlineMillis, outcome, () -> readPhase(job, deadlineMillis, outcome));
						return;
					}
					Optional<Row> row = findRow(found, progress);
					if (row.isPresent()) {
						outcome.complete(RowDecoder.decode(LOG, row.get(), RecordCodec::readProgress)
							.map(JobRequestHandler::toAnswer)
							.orElseGet(JobAnswer.Unavailable::new));
						return;
					}
					readIntake(job, deadlineMillis, outcome);
				});
	}

	private static JobAnswer toAnswer(JobRecord progress) {
		return new JobAnswer.Known(progress.phase(), progress.failureMessage().orElse(""));
	}

	private void readIntake(String job, long deadlineMillis, CompletableFuture<JobAnswer> outcome) {
		Place intake = Tables.job(job);
		this.loop.onCompletion(this.store.read(intake.table(), intake.key(), 1, this.storeTimeout.timeout()),
				(read) -> {
					if (!(read instanceof RowStore.Read.Found found)) {
						retryOrUnavailable(deadlineMillis, outcome, () -> readIntake(job, deadlineMillis, outcome));
						return;
					}
					outcome.complete(findRow(found, intake).isPresent() ? new JobAnswer.Known(JobPhase.QUEUED)
							: new JobAnswer.NoSuchJob());
				});
	}

	// Without the holder, the cancellation itself is stored as a row beside the job. The
	// next holder, or the current one when it reads the intake, finds it there. A job
	// without a row may still be on its way to the store, so its cancellation is stored
	// as well.
	private void onCancelEnded(String job, boolean persisted, long deadlineMillis,
			CompletableFuture<JobAnswer> outcome) {
		if (persisted) {
			LOG.info("cancel-kept", "job", job, "through", "holder");
			outcome.complete(new JobAnswer.Known(JobPhase.CANCELLED));
			return;
		}
		Place intake = Tables.job(job);
		this.loop.onCompletion(this.store.read(intake.table(), intake.key(), 1, this.storeTimeout.timeout()),
				(read) -> {
					if (!(read instanceof RowStore.Read.Found found)) {
						retryCancel(deadlineMillis, outcome, () -> onCancelEnded(job, false, deadlineMillis, outcome));
						return;
					}
					Optional<Row> row = findRow(found, intake);
					if (row.isEmpty() && !this.unknownCancels.tryAcquire()) {
						refuseCancel(CancelRefusal.TOO_MANY_UNKNOWN, outcome);
						return;
					}
					writeCancel(job, row.map(Row::version).orElse(0L), deadlineMillis, outcome);
				});
	}

	private void writeCancel(String job, long jobVersion, long deadlineMillis, CompletableFuture<JobAnswer> outcome) {
		boolean unknown = jobVersion == 0;
		this.loop.onCompletion(
				this.store.commit(List.of(new Condition(Tables.job(job), jobVersion)),
						List.of(new Write(Tables.cancel(job), Optional.of("{}"))), this.storeTimeout.timeout()),
				(commitOutcome) -> {
					if (commitOutcome instanceof RowStore.Commit.Committed) {
						LOG.info("cancel-kept", "job", job, "through", "store", "unknown", unknown);
						notifyOfCancel(job);
						outcome.complete(unknown ? new JobAnswer.NoSuchJob() : new JobAnswer.Known(JobPhase.CANCELLED));
						return;
					}
					boolean jobChanged = commitOutcome instanceof RowStore.Commit.Conflict;
					retryCancel(deadlineMillis, outcome,
							jobChanged ? () -> onCancelEnded(job, false, deadlineMillis, outcome)
									: () -> writeCancel(job, jobVersion, deadlineMillis, outcome));
				});
	}

	private void retryCancel(long deadlineMillis, CompletableFuture<JobAnswer> outcome, Runnable retry) {
		if (!retryBefore(deadlineMillis, retry)) {
			refuseCancel(CancelRefusal.STORE_SILENT, outcome);
		}
	}

	private void refuseCancel(CancelRefusal reason, CompletableFuture<JobAnswer> outcome) {
		this.telemetry.count(REFUSED_CANCELS_METRIC, reason);
		outcome.complete(new JobAnswer.Unavailable());
	}

	private void notifyOfCancel(String job) {
		if (this.schedulerDriver.mayDecide()) {
			this.schedulerDriver.onCancelPersisted(job);
			return;
		}
		this.calls.notifyHolder(EntryCalls.CANCEL_PERSISTED, job, new byte[0]);
	}

	private void retryOrUnavailable(long deadlineMillis, CompletableFuture<JobAnswer> outcome, Runnable retry) {
		if (!retryBefore(deadlineMillis, retry)) {
			outcome.complete(new JobAnswer.Unavailable());
		}
	}

	private boolean retryBefore(long deadlineMillis, Runnable retry) {
		if (this.loop.steadyMillis() + STORE_RETRY_DELAY_MILLIS >= deadlineMillis) {
			return false;
		}
		this.loop.schedule(STORE_RETRY_DELAY_MILLIS, retry);
		return true;
	}

	private static Optional<Row> findRow(RowStore.Read.Found found, Place place) {
		return found.rows().stream().filter((row) -> row.place().equals(place)).findFirst();
	}

	private static int statusOf(Submission outcome) {
		if (outcome instanceof Submission.Accepted) {
			return EntryCalls.OK;
		}
		return (outcome instanceof Submission.Refused) ? EntryCalls.UNAVAILABLE : EntryCalls.UNSETTLED;
	}

	private static CompletableFuture<Answer> completed(int status, String body) {
		return CompletableFuture.completedFuture(new Answer(status, body));
	}

	private static String text(byte[] body) {
		return new String(body, StandardCharsets.UTF_8);
	}

	/**
	 * The answer to another entry.
	 *
	 * @param status a status code as in HTTP
	 * @param body text content
	 * @param headers additional values
	 */
	record Answer(int status, String body, Map<String, String> headers) {

		Answer(int status, String body) {
			this(status, body, Map.of());
		}

	}

	/**
	 * A count of jobs and the time at which it was correct.
	 */
	private record Count(int count, long atMillis) {
	}

}
