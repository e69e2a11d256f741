package org.almondmount.fleet.entry;

import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.Loop;
import org.almondmount.fleet.StorePatience;
import org.almondmount.fleet.Submission;
import org.almondmount.fleet.Tables;
import org.almondmount.fleet.codec.RecordCodec;
import org.almondmount.rows.RowStore;
import org.almondmount.rows.RowStore.Condition;
import org.almondmount.rows.RowStore.Place;
import org.almondmount.rows.RowStore.Write;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.Message;
import org.almondmount.workflow.Workflow;

/**
 * Accepts jobs at any entry. Belongs to the loop's thread.
 * <p>
 * A job is accepted once its row is in the store, which any entry can bring about without
 * the holder. A write that was not answered may still take effect, so from then on the
 * job can no longer be refused: its caller hears that nobody can tell.
 */
final class JobIntake {

	private static final EventLog LOG = EventLog.of(JobIntake.class);

	/** Pause before a write that was refused is tried again, in milliseconds. */
	private static final long REFUSED_PAUSE_MILLIS = 60;

	/** Pause between two questions to a store that does not answer, in milliseconds. */
	private static final long PROBE_PAUSE_MILLIS = 150;

	/**
	 * Unsettled jobs that are remembered: more than callers leave within a status's time.
	 */
	private static final int MOST_UNSETTLED = 4_096;

	private final RowStore store;

	private final Loop loop;

	private final StorePatience patience;

	private final Telemetry telemetry;

	private final HolderDesk holder;

	private final TermDriver term;

	private final PeerLinks peers;

	private final EntryCalls calls;

	private boolean probing;

	/** Jobs of which nobody can tell whether they were accepted, the oldest first. */
	private final Set<String> unsettled = new LinkedHashSet<>();

	JobIntake(RowStore store, Loop loop, StorePatience patience, Telemetry telemetry, HolderDesk holder,
			TermDriver term, PeerLinks peers, EntryCalls calls) {
		this.store = store;
		this.loop = loop;
		this.patience = patience;
		this.telemetry = telemetry;
		this.holder = holder;
		this.term = term;
		this.peers = peers;
		this.calls = calls;
	}

	/**
	 * Accepts a job.
	 * @param job the job
	 * @param withinMillis after which its caller has to have an answer
	 * @param mayAskPeer whether another entry may be asked to do it
	 * @return what became of it
	 */
	CompletableFuture<Submission> submit(Workflow job, long withinMillis, boolean mayAskPeer) {
		CompletableFuture<Submission> outcome = new CompletableFuture<>();
		Attempt attempt = new Attempt(job, RecordCodec.write(job), this.loop.steadyMillis() + withinMillis, mayAskPeer,
				outcome);
		write(attempt);
		return outcome;
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
		this.loop.then(this.peers.call(other.get(), EntryCalls.SUBMIT, attempt.job.id(), body,
				Math.min(left, EntryCalls.HOLDER_MILLIS)), (answer) -> {
					int status = answer.map(Message.ForwardAnswer::status).orElse(EntryCalls.UNSETTLED);
					if (status == EntryCalls.OK) {
						accepted(attempt, false);
						return;
					}
					attempt.unsettled |= status != EntryCalls.UNAVAILABLE;
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
		this.calls.askHolder(EntryCalls.ACCEPTED, attempt.job.id(), attempt.text.getBytes(StandardCharsets.UTF_8),
				EntryCalls.HOLDER_MILLIS);
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

	private static void dropOldest(Set<String> remembered) {
		if (remembered.size() > MOST_UNSETTLED) {
			Iterator<String> oldest = remembered.iterator();
			oldest.next();
			oldest.remove();
		}
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
