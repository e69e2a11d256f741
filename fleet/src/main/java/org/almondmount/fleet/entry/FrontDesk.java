package org.almondmount.fleet.entry;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.JobAnswer;
import org.almondmount.fleet.Loop;
import org.almondmount.fleet.StorePatience;
import org.almondmount.fleet.Submission;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.rows.RowStore;
import org.almondmount.rows.RowStore.Condition;
import org.almondmount.rows.RowStore.Place;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.rows.RowStore.Write;
import org.almondmount.telemetry.EventLog;
import org.almondmount.wire.Message;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobRecord;

/**
 * Answers what callers and other entries ask about jobs at any entry, from the holder's
 * memory or from the store. Belongs to the loop's thread.
 */
final class FrontDesk {

	private static final EventLog LOG = EventLog.of(FrontDesk.class);

	/** Pause before the store is asked again, in milliseconds. */
	private static final long REFUSED_PAUSE_MILLIS = 60;

	/** A cancel waits for a commit of the holder. */
	private static final long CANCEL_MILLIS = 1_500;

	/** A count may be this old. */
	private static final long COUNT_MILLIS = 800;

	private final RowStore store;

	private final Loop loop;

	private final StorePatience patience;

	private final HolderDesk holder;

	private final EntryCalls calls;

	private final JobIntake intake;

	private final Map<String, Count> counts = new HashMap<>();

	FrontDesk(RowStore store, Loop loop, StorePatience patience, HolderDesk holder, EntryCalls calls,
			JobIntake intake) {
		this.store = store;
		this.loop = loop;
		this.patience = patience;
		this.holder = holder;
		this.calls = calls;
		this.intake = intake;
	}

	CompletableFuture<JobAnswer> phase(String job, long withinMillis) {
		CompletableFuture<JobAnswer> outcome = new CompletableFuture<>();
		if (this.holder.deciding()) {
			Optional<JobPhase> phase = this.holder.phase(job);
			if (phase.isPresent()) {
				outcome.complete(new JobAnswer.Known(phase.get(), this.holder.failure(job)));
				return outcome;
			}
		}
		long until = this.loop.steadyMillis() + withinMillis;
		this.loop.then(this.calls.askHolder(EntryCalls.PHASE, job, new byte[0], EntryCalls.HOLDER_MILLIS), (answer) -> {
			if (answer.isPresent() && answer.get().status() == EntryCalls.OK) {
				String why = answer.get().headers().getOrDefault(EntryCalls.WHY, "");
				outcome.complete(new JobAnswer.Known(JobPhase.valueOf(text(answer.get().body())), why));
				return;
			}
			readPhase(job, until, outcome);
		});
		return outcome;
	}

	CompletableFuture<JobAnswer> cancel(String job, long withinMillis) {
		CompletableFuture<JobAnswer> outcome = new CompletableFuture<>();
		long until = this.loop.steadyMillis() + withinMillis;
		if (this.holder.deciding() && this.holder.phase(job).isPresent()) {
			this.holder.cancel(job, (kept) -> cancelEnded(job, kept, until, outcome));
			return outcome;
		}
		this.loop.then(this.calls.askHolder(EntryCalls.CANCEL, job, new byte[0], Math.min(CANCEL_MILLIS, withinMillis)),
				(answer) -> {
					boolean kept = answer.isPresent() && answer.get().status() == EntryCalls.OK;
					cancelEnded(job, kept, until, outcome);
				});
		return outcome;
	}

	CompletableFuture<OptionalInt> waiting(String queue) {
		CompletableFuture<OptionalInt> outcome = new CompletableFuture<>();
		if (this.holder.deciding()) {
			outcome.complete(OptionalInt.of(this.holder.waiting(queue)));
			return outcome;
		}
		Count known = this.counts.get(queue);
		if (known != null && this.loop.steadyMillis() - known.at() <= COUNT_MILLIS) {
			outcome.complete(OptionalInt.of(known.count()));
			return outcome;
		}
		this.loop.then(this.calls.askHolder(EntryCalls.WAITING, queue, new byte[0], EntryCalls.HOLDER_MILLIS),
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
	 * Answers a call of another entry.
	 * @param call the call
	 * @return the status and body of the answer
	 */
	CompletableFuture<Answer> asked(Message.Forward call) {
		return switch (call.method()) {
			case EntryCalls.ACCEPTED ->
				notified(() -> this.holder.accepted(RecordCodec.readWorkflow(text(call.body()))));
			case EntryCalls.CANCEL_KEPT -> notified(() -> this.holder.cancelKept(call.path()));
			case EntryCalls.SUBMIT -> this.intake.submitForPeer(RecordCodec.readWorkflow(text(call.body())))
				.thenApply((outcome) -> new Answer(statusOf(outcome), ""));
			case EntryCalls.PHASE -> askedPhase(call.path());
			case EntryCalls.CANCEL -> askedCancel(call.path());
			case EntryCalls.WAITING ->
				this.holder.deciding() ? done(EntryCalls.OK, Integer.toString(this.holder.waiting(call.path())))
						: done(EntryCalls.UNAVAILABLE, "");
			default -> done(EntryCalls.UNAVAILABLE, "");
		};
	}

	// A holder that still loads may have read the store before the row was there.
	private CompletableFuture<Answer> notified(Runnable note) {
		if (!this.holder.deciding()) {
			return done(EntryCalls.UNAVAILABLE, "");
		}
		note.run();
		return done(EntryCalls.OK, "");
	}

	private CompletableFuture<Answer> askedPhase(String job) {
		if (!this.holder.deciding()) {
			return done(EntryCalls.UNAVAILABLE, "");
		}
		return this.holder.phase(job)
			.map((phase) -> CompletableFuture.completedFuture(
					new Answer(EntryCalls.OK, phase.name(), Map.of(EntryCalls.WHY, this.holder.failure(job)))))
			.orElseGet(() -> done(EntryCalls.UNKNOWN_JOB, ""));
	}

	private CompletableFuture<Answer> askedCancel(String job) {
		if (!this.holder.deciding()) {
			return done(EntryCalls.UNAVAILABLE, "");
		}
		if (this.holder.phase(job).isEmpty()) {
			return done(EntryCalls.UNKNOWN_JOB, "");
		}
		CompletableFuture<Answer> answer = new CompletableFuture<>();
		this.holder.cancel(job, (kept) -> answer.complete(new Answer(kept ? EntryCalls.OK : EntryCalls.UNSETTLED, "")));
		return answer;
	}

	private void readPhase(String job, long until, CompletableFuture<JobAnswer> outcome) {
		Place progress = Tables.progress(job);
		this.loop.then(this.store.read(progress.table(), progress.key(), 1, this.patience.timeout()), (read) -> {
			if (!(read instanceof RowStore.Read.Found found)) {
				againOrUnavailable(until, outcome, () -> readPhase(job, until, outcome));
				return;
			}
			Optional<Row> row = only(found, progress);
			if (row.isPresent()) {
				JobRecord kept = RecordCodec.readProgress(row.get().value().orElseThrow());
				outcome.complete(new JobAnswer.Known(kept.phase(), kept.failureMessage().orElse("")));
				return;
			}
			readIntake(job, until, outcome);
		});
	}

	private void readIntake(String job, long until, CompletableFuture<JobAnswer> outcome) {
		Place intake = Tables.job(job);
		this.loop.then(this.store.read(intake.table(), intake.key(), 1, this.patience.timeout()), (read) -> {
			if (!(read instanceof RowStore.Read.Found found)) {
				againOrUnavailable(until, outcome, () -> readIntake(job, until, outcome));
				return;
			}
			outcome.complete(
					only(found, intake).isPresent() ? new JobAnswer.Known(JobPhase.QUEUED) : new JobAnswer.NoSuchJob());
		});
	}

	// Without the holder the cancel itself is kept as a row beside the job; whoever holds
	// the term next, or looks at the intake, finds it there.
	private void cancelEnded(String job, boolean kept, long until, CompletableFuture<JobAnswer> outcome) {
		if (kept) {
			LOG.info("cancel-kept", "job", job, "through", "holder");
			outcome.complete(new JobAnswer.Known(JobPhase.CANCELLED));
			return;
		}
		Place intake = Tables.job(job);
		this.loop.then(this.store.read(intake.table(), intake.key(), 1, this.patience.timeout()), (read) -> {
			if (!(read instanceof RowStore.Read.Found found)) {
				againOrUnavailable(until, outcome, () -> cancelEnded(job, false, until, outcome));
				return;
			}
			Optional<Row> row = only(found, intake);
			if (row.isEmpty()) {
				outcome.complete(new JobAnswer.NoSuchJob());
				return;
			}
			writeCancel(job, row.get(), until, outcome);
		});
	}

	private void writeCancel(String job, Row row, long until, CompletableFuture<JobAnswer> outcome) {
		this.loop.then(
				this.store.commit(List.of(new Condition(row.place(), row.version())),
						List.of(new Write(Tables.cancel(job), Optional.of("{}"))), this.patience.timeout()),
				(ending) -> {
					if (ending instanceof RowStore.Commit.Committed) {
						LOG.info("cancel-kept", "job", job, "through", "store");
						notifyOfCancel(job);
						outcome.complete(new JobAnswer.Known(JobPhase.CANCELLED));
						return;
					}
					againOrUnavailable(until, outcome, () -> writeCancel(job, row, until, outcome));
				});
	}

	private void notifyOfCancel(String job) {
		if (this.holder.deciding()) {
			this.holder.cancelKept(job);
			return;
		}
		this.calls.notifyHolder(EntryCalls.CANCEL_KEPT, job, new byte[0]);
	}

	private void againOrUnavailable(long until, CompletableFuture<JobAnswer> outcome, Runnable again) {
		if (this.loop.steadyMillis() + REFUSED_PAUSE_MILLIS >= until) {
			outcome.complete(new JobAnswer.Unavailable());
			return;
		}
		this.loop.after(REFUSED_PAUSE_MILLIS, again);
	}

	private static Optional<Row> only(RowStore.Read.Found found, Place place) {
		return found.rows().stream().filter((row) -> row.place().equals(place)).findFirst();
	}

	private static int statusOf(Submission outcome) {
		if (outcome instanceof Submission.Accepted) {
			return EntryCalls.OK;
		}
		return (outcome instanceof Submission.Refused) ? EntryCalls.UNAVAILABLE : EntryCalls.UNSETTLED;
	}

	private static CompletableFuture<Answer> done(int status, String body) {
		return CompletableFuture.completedFuture(new Answer(status, body));
	}

	private static String text(byte[] body) {
		return new String(body, StandardCharsets.UTF_8);
	}

	/**
	 * The answer to another entry.
	 *
	 * @param status a status as in HTTP
	 * @param body a text
	 * @param headers more of it
	 */
	record Answer(int status, String body, Map<String, String> headers) {

		Answer(int status, String body) {
			this(status, body, Map.of());
		}

	}

	/**
	 * A count of jobs with the moment at which it was true.
	 */
	private record Count(int count, long at) {
	}

}
