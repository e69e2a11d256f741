package org.almondmount.fleet.entry;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
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
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.Message;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.Workflow;

/**
 * Takes what callers ask at any entry. Belongs to the loop's thread.
 * <p>
 * A job is accepted once its row is in the store, which any entry can bring about without
 * the holder. A write that was not answered may still take effect, so from then on the
 * job can no longer be refused: its caller hears that nobody can tell.
 */
final class FrontDesk {

	/** Tells the holder of a job that another entry accepted. */
	static final String ACCEPTED = "accepted";

	/** Asks another entry to accept a job. */
	static final String SUBMIT = "submit";

	/** Asks the holder where a job stands. */
	static final String PHASE = "phase";

	/** Asks the holder to cancel a job. */
	static final String CANCEL = "cancel";

	/** Asks the holder how many jobs of a queue wait. */
	static final String WAITING = "waiting";

	static final int OK = 200;

	static final int UNKNOWN_JOB = 404;

	static final int UNAVAILABLE = 503;

	static final int UNSETTLED = 504;

	private static final EventLog LOG = EventLog.of(FrontDesk.class);

	private static final long REFUSED_PAUSE_MILLIS = 60;

	/** Time for the holder to answer from memory before the store is asked. */
	private static final long HOLDER_MILLIS = 500;

	/** A cancel waits for a commit of the holder. */
	private static final long CANCEL_MILLIS = 1_500;

	/** Pause between two questions to a store that does not answer, in milliseconds. */
	private static final long PROBE_PAUSE_MILLIS = 150;

	/**
	 * Unsettled jobs that are remembered: more than callers leave within a status's time.
	 */
	private static final int MOST_UNSETTLED = 4_096;

	/** A count may be this old. */
	private static final long COUNT_MILLIS = 800;

	private final RowStore store;

	private final Loop loop;

	private final StorePatience patience;

	private final Telemetry telemetry;

	private final HolderDesk holder;

	private final TermDriver term;

	private final PeerLinks peers;

	private final Map<String, Count> counts = new HashMap<>();

	private boolean probing;

	/** Jobs of which nobody can tell whether they were accepted, the oldest first. */
	private final Set<String> unsettled = new LinkedHashSet<>();

	FrontDesk(RowStore store, Loop loop, StorePatience patience, Telemetry telemetry, HolderDesk holder,
			TermDriver term, PeerLinks peers) {
		this.store = store;
		this.loop = loop;
		this.patience = patience;
		this.telemetry = telemetry;
		this.holder = holder;
		this.term = term;
		this.peers = peers;
	}

	CompletableFuture<Submission> submit(Workflow job, long withinMillis, boolean mayAskPeer) {
		CompletableFuture<Submission> outcome = new CompletableFuture<>();
		Attempt attempt = new Attempt(job, RecordCodec.write(job), this.loop.steadyMillis() + withinMillis, mayAskPeer,
				outcome);
		write(attempt);
		return outcome;
	}

	CompletableFuture<JobAnswer> phase(String job, long withinMillis) {
		CompletableFuture<JobAnswer> outcome = new CompletableFuture<>();
		if (this.holder.deciding()) {
			Optional<JobPhase> phase = this.holder.phase(job);
			if (phase.isPresent()) {
				outcome.complete(new JobAnswer.Known(phase.get()));
				return outcome;
			}
		}
		long until = this.loop.steadyMillis() + withinMillis;
		this.loop.then(askHolder(PHASE, job, new byte[0], HOLDER_MILLIS), (answer) -> {
			if (answer.isPresent() && answer.get().status() == OK) {
				outcome.complete(new JobAnswer.Known(JobPhase.valueOf(text(answer.get().body()))));
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
		this.loop.then(askHolder(CANCEL, job, new byte[0], Math.min(CANCEL_MILLIS, withinMillis)), (answer) -> {
			boolean kept = answer.isPresent() && answer.get().status() == OK;
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
		this.loop.then(askHolder(WAITING, queue, new byte[0], HOLDER_MILLIS), (answer) -> {
			if (answer.isEmpty() || answer.get().status() != OK) {
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
			case ACCEPTED -> {
				this.holder.accepted(RecordCodec.readWorkflow(text(call.body())));
				yield done(OK, "");
			}
			case SUBMIT -> submit(RecordCodec.readWorkflow(text(call.body())), CANCEL_MILLIS, false)
				.thenApply((outcome) -> new Answer(statusOf(outcome), ""));
			case PHASE -> askedPhase(call.path());
			case CANCEL -> askedCancel(call.path());
			case WAITING -> this.holder.deciding() ? done(OK, Integer.toString(this.holder.waiting(call.path())))
					: done(UNAVAILABLE, "");
			default -> done(UNAVAILABLE, "");
		};
	}

	private CompletableFuture<Answer> askedPhase(String job) {
		if (!this.holder.deciding()) {
			return done(UNAVAILABLE, "");
		}
		return this.holder.phase(job).map((phase) -> done(OK, phase.name())).orElseGet(() -> done(UNKNOWN_JOB, ""));
	}

	private CompletableFuture<Answer> askedCancel(String job) {
		if (!this.holder.deciding()) {
			return done(UNAVAILABLE, "");
		}
		if (this.holder.phase(job).isEmpty()) {
			return done(UNKNOWN_JOB, "");
		}
		CompletableFuture<Answer> answer = new CompletableFuture<>();
		this.holder.cancel(job, (kept) -> answer.complete(new Answer(kept ? OK : UNSETTLED, "")));
		return answer;
	}

	// A job that was sent to a store that does not answer can no longer be refused. So
	// where no answer is to be expected it is not sent, and its caller hears at once that
	// it has not run.
	private void write(Attempt attempt) {
		if (!attempt.unsettled && this.patience.expectsSilence()) {
			attempt.atOnce = true;
			probe();
			written(attempt, new RowStore.Commit.Refused("the store did not answer the last call"));
			return;
		}
		Place place = Tables.job(attempt.job.id());
		long sentAt = this.loop.steadyMillis();
		this.loop.then(this.store.commit(List.of(new Condition(place, 0)),
				List.of(new Write(place, Optional.of(attempt.text))), this.patience.timeout()), (ending) -> {
					learn(sentAt, ending);
					written(attempt, ending);
				});
	}

	// Whether the store answers again is found out with a read. A job that is sent for
	// that
	// can't be refused any more, and its caller may not be allowed to hand it in again.
	private void probe() {
		if (this.probing) {
			return;
		}
		this.probing = true;
		long sentAt = this.loop.steadyMillis();
		this.loop.then(this.store.read(Tables.TERM.table(), Tables.TERM.key(), 1, this.patience.timeout()), (read) -> {
			this.probing = false;
			if (read instanceof RowStore.Read.Found) {
				this.patience.answered(this.loop.steadyMillis() - sentAt);
			}
			else if (this.patience.expectsSilence()) {
				this.patience.silent();
				this.loop.after(PROBE_PAUSE_MILLIS, this::probe);
			}
		});
	}

	private void learn(long sentAt, RowStore.Commit ending) {
		if (ending instanceof RowStore.Commit.Unanswered) {
			this.patience.silent();
			probe();
		}
		else if (!(ending instanceof RowStore.Commit.Refused)) {
			this.patience.answered(this.loop.steadyMillis() - sentAt);
		}
	}

	private void written(Attempt attempt, RowStore.Commit ending) {
		if (ending instanceof RowStore.Commit.Committed || ending instanceof RowStore.Commit.Conflict) {
			accepted(attempt, ending instanceof RowStore.Commit.Conflict);
			return;
		}
		attempt.unsettled |= ending instanceof RowStore.Commit.Unanswered;
		attempt.why = ending.toString();
		if (attempt.mayAskPeer) {
			attempt.mayAskPeer = false;
			askPeer(attempt);
			return;
		}
		if (attempt.atOnce || this.loop.steadyMillis() + REFUSED_PAUSE_MILLIS >= attempt.until
				|| !attempt.mayTryAgain()) {
			giveUp(attempt);
			return;
		}
		this.loop.after(REFUSED_PAUSE_MILLIS, () -> write(attempt));
	}

	// The store may turn away this entry and serve another one. Both write the same row
	// on the condition that it is not there, so it does not matter whose write is first.
	private void askPeer(Attempt attempt) {
		Optional<String> other = this.term.holder()
			.map((row) -> row.address())
			.filter(this.peers::connectedTo)
			.or(() -> this.peers.anyOther(""));
		long left = attempt.until - this.loop.steadyMillis();
		if (other.isEmpty() || left <= 0) {
			written(attempt, new RowStore.Commit.Refused(attempt.why));
			return;
		}
		byte[] body = attempt.text.getBytes(StandardCharsets.UTF_8);
		this.loop.then(this.peers.call(other.get(), SUBMIT, attempt.job.id(), body, Math.min(left, HOLDER_MILLIS)),
				(answer) -> {
					int status = answer.map(Message.ForwardAnswer::status).orElse(UNSETTLED);
					if (status == OK) {
						accepted(attempt, false);
						return;
					}
					attempt.unsettled |= status != UNAVAILABLE;
					written(attempt, new RowStore.Commit.Refused(attempt.why));
				});
	}

	private void accepted(Attempt attempt, boolean repeated) {
		LOG.info("job-accepted", "job", attempt.job.id(), "queue", attempt.job.queue(), "customer",
				attempt.job.customer(), "repeated", repeated);
		this.telemetry.count(repeated ? "jobs.repeated" : "jobs.accepted");
		attempt.outcome.complete(Submission.ACCEPTED);
		if (this.holder.deciding()) {
			this.holder.accepted(attempt.job);
			return;
		}
		askHolder(ACCEPTED, attempt.job.id(), attempt.text.getBytes(StandardCharsets.UTF_8), HOLDER_MILLIS);
	}

	// What an earlier call left unsettled may still take effect, so a later call for the
	// same job can't be told that it never runs.
	private void giveUp(Attempt attempt) {
		attempt.unsettled |= this.unsettled.contains(attempt.job.id());
		if (attempt.unsettled) {
			this.unsettled.add(attempt.job.id());
			dropOldest(this.unsettled);
		}
		Submission outcome = attempt.unsettled ? Submission.UNKNOWN : Submission.REFUSED;
		this.telemetry.count(attempt.unsettled ? "jobs.unsettled" : "jobs.refused");
		LOG.warn("job-not-accepted", "job", attempt.job.id(), "outcome", outcome, "why", attempt.why);
		attempt.outcome.complete(outcome);
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
				JobPhase phase = RecordCodec.readProgress(row.get().value().orElseThrow()).phase();
				outcome.complete(new JobAnswer.Known(phase));
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
						outcome.complete(new JobAnswer.Known(JobPhase.CANCELLED));
						return;
					}
					againOrUnavailable(until, outcome, () -> writeCancel(job, row, until, outcome));
				});
	}

	private void againOrUnavailable(long until, CompletableFuture<JobAnswer> outcome, Runnable again) {
		if (this.loop.steadyMillis() + REFUSED_PAUSE_MILLIS >= until) {
			outcome.complete(new JobAnswer.Unavailable());
			return;
		}
		this.loop.after(REFUSED_PAUSE_MILLIS, again);
	}

	private CompletableFuture<Optional<Message.ForwardAnswer>> askHolder(String method, String subject, byte[] body,
			long withinMillis) {
		return this.term.holder()
			.map((row) -> this.peers.call(row.address(), method, subject, body, withinMillis))
			.orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
	}

	private static void dropOldest(Set<String> remembered) {
		if (remembered.size() > MOST_UNSETTLED) {
			Iterator<String> oldest = remembered.iterator();
			oldest.next();
			oldest.remove();
		}
	}

	private static Optional<Row> only(RowStore.Read.Found found, Place place) {
		return found.rows().stream().filter((row) -> row.place().equals(place)).findFirst();
	}

	private static int statusOf(Submission outcome) {
		return switch (outcome) {
			case ACCEPTED -> OK;
			case REFUSED -> UNAVAILABLE;
			case UNKNOWN -> UNSETTLED;
		};
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
	 */
	record Answer(int status, String body) {
	}

	/**
	 * A count of jobs with the moment at which it was true.
	 */
	private record Count(int count, long at) {
	}

	/**
	 * One job on its way into the store.
	 */
	private static final class Attempt {

		private static final int MOST_WRITES = 6;

		private final Workflow job;

		private final String text;

		private final long until;

		private final CompletableFuture<Submission> outcome;

		private boolean mayAskPeer;

		private boolean unsettled;

		/** Whether nothing is to be expected of another try. */
		private boolean atOnce;

		private int writes;

		private String why = "";

		Attempt(Workflow job, String text, long until, boolean mayAskPeer, CompletableFuture<Submission> outcome) {
			this.job = job;
			this.text = text;
			this.until = until;
			this.mayAskPeer = mayAskPeer;
			this.outcome = outcome;
		}

		boolean mayTryAgain() {
			return ++this.writes < MOST_WRITES;
		}

	}

}
