package org.almondmount.fleet.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToIntFunction;

import org.almondmount.fleet.Loop;
import org.almondmount.fleet.StorePatience;
import org.almondmount.fleet.Submission;
import org.almondmount.fleet.Tables;
import org.almondmount.intake.IntakePolicy;
import org.almondmount.intake.IntakeQueue;
import org.almondmount.intake.IntakeRefusal;
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
 * job can no longer be refused: its caller hears that nobody can tell. What the store
 * does not take now waits in a line, as long as {@link IntakePolicy} says.
 */
final class JobIntake {

	private static final EventLog LOG = EventLog.of(JobIntake.class);

	/** Jobs that were not accepted, by reason. */
	private static final String REFUSED = "intake";

	/** No caller is known to wait longer for its job to be accepted. */
	private static final Duration LONGEST_WRITE = Duration.ofSeconds(3);

	/** A store that is a hundred times slower answers a write within 800 ms. */
	private static final long SLOW_ANSWER_MILLIS = 950;

	/** How often the line is looked at, in milliseconds. */
	private static final long LINE_MILLIS = 50;

	/** Pause between two writes by which a store that refused is tried again. */
	private static final long RETRY_MILLIS = 150;

	/** Jobs of the line that are written at the same time once the store takes them. */
	private static final int MOST_WRITES = 16;

	/**
	 * Unsettled jobs that are remembered: more than callers leave within a status's time.
	 */
	private static final int MOST_UNSETTLED = 4_096;

	private final RowStore store;

	private final Loop loop;

	private final StorePatience patience;

	private final Telemetry telemetry;

	private final HolderDesk holder;

	private final PeerLinks peers;

	private final StoreNews storeNews;

	private final EntryCalls calls;

	private final ToIntFunction<String> priorityOf;

	private final IntakePolicy policy = IntakePolicy.DEFAULT;

	private final IntakeQueue<IntakeAttempt> line = new IntakeQueue<>(this.policy.maxWaiting());

	/** Jobs of which nobody can tell whether they were accepted, the oldest first. */
	private final Set<String> unsettled = new LinkedHashSet<>();

	private int writing;

	private long nextRetry = Long.MIN_VALUE;

	/**
	 * Makes an intake that takes nothing out of its line before {@link #start()}.
	 * @param store where jobs are kept
	 * @param loop the thread
	 * @param patience how long the store is waited for
	 * @param telemetry the process's metrics
	 * @param holder the scheduler of this entry
	 * @param peers the other entries
	 * @param storeNews which of them reach the store
	 * @param calls the way to the holder
	 * @param priorityOf the priority of a queue, 0 for the most urgent
	 */
	JobIntake(RowStore store, Loop loop, StorePatience patience, Telemetry telemetry, HolderDesk holder,
			PeerLinks peers, StoreNews storeNews, EntryCalls calls, ToIntFunction<String> priorityOf) {
		this.store = store;
		this.loop = loop;
		this.patience = patience;
		this.telemetry = telemetry;
		this.holder = holder;
		this.peers = peers;
		this.storeNews = storeNews;
		this.calls = calls;
		this.priorityOf = priorityOf;
		telemetry.declare(REFUSED, IntakeRefusal.class);
	}

	void start() {
		this.loop.every(LINE_MILLIS, this::lookAtLine);
	}

	/**
	 * Accepts a job of a caller.
	 * @param job the job
	 * @param patienceMillis the time that its caller gives
	 * @return what became of it
	 */
	CompletableFuture<Submission> submit(Workflow job, long patienceMillis) {
		return begin(job, patienceMillis, false);
	}

	/**
	 * Accepts a job that came to another entry, which waits for the store itself.
	 * @param job the job
	 * @return what became of it
	 */
	CompletableFuture<Submission> submitForPeer(Workflow job) {
		return begin(job, EntryCalls.HOLDER_MILLIS, true);
	}

	boolean anyWaiting() {
		return this.line.size() > 0;
	}

	/** The store answers again. */
	void storeAnswers() {
		writeWaiting(MOST_WRITES);
	}

	private CompletableFuture<Submission> begin(Workflow job, long patienceMillis, boolean forPeer) {
		CompletableFuture<Submission> outcome = new CompletableFuture<>();
		IntakeAttempt attempt = new IntakeAttempt(job, this.loop.steadyMillis(), patienceMillis, forPeer, outcome);
		if (this.unsettled.contains(job.id())) {
			attempt.mayBeKept();
		}
		if (this.patience.expectsSilence()) {
			attempt.refused(IntakeRefusal.STORE_SILENT, "");
			notTaken(attempt);
		}
		else {
			write(attempt);
		}
		return outcome;
	}

	// Each copy is waited for to the end and the first answer counts; see mayBeWritten.
	private void write(IntakeAttempt attempt) {
		Place place = Tables.job(attempt.job().id());
		long sentAt = this.loop.steadyMillis();
		int copy = attempt.sendCopy(sentAt);
		this.writing++;
		this.loop.after(this.patience.timeout().toMillis(), () -> overdue(attempt, copy, sentAt));
		this.loop.then(this.store.commit(List.of(new Condition(place, 0)),
				List.of(new Write(place, Optional.of(attempt.text()))), LONGEST_WRITE), (ending) -> {
					boolean current = noLongerCurrent(attempt, copy);
					attempt.copyEnded();
					written(attempt, sentAt, ending, current);
				});
	}

	private void overdue(IntakeAttempt attempt, int copy, long sentAt) {
		if (noLongerCurrent(attempt, copy)) {
			unanswered(attempt, "no answer yet after " + (this.loop.steadyMillis() - sentAt) + " ms");
		}
	}

	private boolean noLongerCurrent(IntakeAttempt attempt, int copy) {
		if (!attempt.noLongerWaitsFor(copy)) {
			return false;
		}
		this.writing--;
		return true;
	}

	private void written(IntakeAttempt attempt, long sentAt, RowStore.Commit ending, boolean current) {
		if (ending instanceof RowStore.Commit.Committed || ending instanceof RowStore.Commit.Conflict) {
			this.patience.answered(this.loop.steadyMillis() - sentAt);
			accepted(attempt, ending instanceof RowStore.Commit.Conflict);
			writeWaiting(MOST_WRITES);
		}
		else if (current && ending instanceof RowStore.Commit.Refused refused) {
			attempt.refused(IntakeRefusal.STORE_TURNS_AWAY, refused.why());
			notTaken(attempt);
		}
		else if (current && ending instanceof RowStore.Commit.Unanswered unanswered) {
			unanswered(attempt, unanswered.why());
		}
	}

	private void unanswered(IntakeAttempt attempt, String why) {
		this.patience.silent();
		attempt.mayBeKept();
		attempt.refused(IntakeRefusal.UNSETTLED, why);
		standInLine(attempt);
	}

	// A job that was sent to a store that does not answer can no longer be refused. So
	// where no answer is to be expected it is not sent, but passed on to the entries that
	// may reach the store, and waits.
	private void notTaken(IntakeAttempt attempt) {
		if (attempt.accepted()) {
			return;
		}
		Optional<String> peer = this.storeNews.mayReachStore(attempt::mayAskPeer);
		long left = attempt.leftMillis(this.loop.steadyMillis());
		if (peer.isPresent() && left > this.policy.responseMarginMillis()) {
			askPeer(attempt, peer.get());
			return;
		}
		standInLine(attempt);
	}

	private void standInLine(IntakeAttempt attempt) {
		long until = this.policy.waitDeadline(attempt.arrivedMillis(), attempt.patienceMillis(), attempt.unsettled());
		if (attempt.forPeer() || this.loop.steadyMillis() >= until) {
			giveUp(attempt);
			return;
		}
		int priority = this.priorityOf.applyAsInt(attempt.job().queue());
		if (!this.line.add(priority, until, attempt)) {
			attempt.refused(IntakeRefusal.TOO_MANY_WAIT, "");
			giveUp(attempt);
		}
	}

	private void lookAtLine() {
		long now = this.loop.steadyMillis();
		this.line.takeExpired(now).forEach(this::giveUp);
		this.line.takeFirst((attempt) -> hasToAskPeer(now, attempt)).ifPresent(this::notTaken);
		boolean retry = now >= this.nextRetry && this.writing == 0 && !this.patience.expectsSilence();
		if (retry && this.line.size() > 0) {
			this.nextRetry = now + RETRY_MILLIS;
			writeWaiting(1);
		}
	}

	// A store that does not answer this entry may answer another one, or be slow for all.
	// A slow one would be held up by a second copy, so that is asked for only when a slow
	// answer would have come.
	private boolean hasToAskPeer(long now, IntakeAttempt attempt) {
		return this.patience.expectsSilence() && now - attempt.lastCopyAt() >= SLOW_ANSWER_MILLIS
				&& this.storeNews.mayReachStore(attempt::mayAskPeer).isPresent();
	}

	// One job finds out whether a store that refused takes jobs again; the others follow
	// as fast as it takes them.
	private void writeWaiting(int most) {
		while (this.writing < most) {
			Optional<IntakeAttempt> next = this.line.takeFirst(this::mayBeWritten);
			if (next.isEmpty()) {
				return;
			}
			if (!next.get().accepted()) {
				write(next.get());
			}
		}
	}

	// A lost answer is found out only by waiting, so a copy is sent after a while. But a
	// store that has become slow answers the first copy later than that, and takes the
	// longer the more copies it is sent: so each copy is waited for, the first answer
	// counts, and the next copy leaves when the last one is late by what was learnt
	// since.
	private boolean mayBeWritten(IntakeAttempt attempt) {
		long since = this.loop.steadyMillis() - attempt.lastCopyAt();
		return !attempt.anyCopyOut() || since >= this.patience.timeout().toMillis();
	}

	// The store may turn away this entry and serve another one. Both write the same row
	// on the condition that it is not there, so it does not matter whose write is first.
	private void askPeer(IntakeAttempt attempt, String peer) {
		attempt.peerAsked(peer);
		LOG.info("job-passed-on", "job", attempt.job().id(), "to", peer, "sentToStore", attempt.anyCopyOut(), "why",
				attempt.why());
		long left = attempt.leftMillis(this.loop.steadyMillis());
		byte[] body = attempt.text().getBytes(StandardCharsets.UTF_8);
		this.loop.then(this.peers.call(peer, EntryCalls.SUBMIT, attempt.job().id(), body,
				Math.min(left, EntryCalls.HOLDER_MILLIS)), (answer) -> {
					int status = answer.map(Message.ForwardAnswer::status).orElse(EntryCalls.UNSETTLED);
					if (status == EntryCalls.OK) {
						accepted(attempt, false);
						return;
					}
					if (status != EntryCalls.UNAVAILABLE) {
						attempt.mayBeKept();
					}
					notTaken(attempt);
				});
	}

	private void accepted(IntakeAttempt attempt, boolean repeated) {
		if (attempt.accepted()) {
			return;
		}
		attempt.accept();
		LOG.info("job-accepted", "job", attempt.job().id(), "queue", attempt.job().queue(), "customer",
				attempt.job().customer(), "repeated", repeated, "afterMillis",
				this.loop.steadyMillis() - attempt.arrivedMillis());
		this.telemetry.count(repeated ? "jobs.repeated" : "jobs.accepted");
		this.unsettled.remove(attempt.job().id());
		attempt.outcome().complete(new Submission.Accepted());
		if (this.holder.deciding()) {
			this.holder.accepted(attempt.job());
			return;
		}
		this.calls.notifyHolder(EntryCalls.ACCEPTED, attempt.job().id(),
				attempt.text().getBytes(StandardCharsets.UTF_8));
	}

	// What an earlier call left unsettled may still take effect, so a later call for the
	// same job can't be refused either.
	private void giveUp(IntakeAttempt attempt) {
		if (attempt.accepted()) {
			return;
		}
		long now = this.loop.steadyMillis();
		if (this.unsettled.contains(attempt.job().id())) {
			attempt.mayBeKept();
		}
		IntakeRefusal why = attempt.why();
		Duration comeBack = this.policy.retryAfter(why, attempt.leftMillis(now));
		this.telemetry.count(attempt.unsettled() ? "jobs.unsettled" : "jobs.refused");
		this.telemetry.count(REFUSED, why);
		LOG.warn("job-not-accepted", "job", attempt.job().id(), "outcome", why, "why", attempt.detail(), "waitedMillis",
				now - attempt.arrivedMillis(), "patienceMillis", attempt.patienceMillis(), "comeBackMillis",
				comeBack.toMillis());
		if (attempt.unsettled()) {
			this.unsettled.add(attempt.job().id());
			dropOldest(this.unsettled);
			attempt.outcome().complete(new Submission.Unsettled(comeBack));
			return;
		}
		attempt.outcome().complete(new Submission.Refused(why, comeBack));
	}

	private static void dropOldest(Set<String> remembered) {
		if (remembered.size() > MOST_UNSETTLED) {
			Iterator<String> oldest = remembered.iterator();
			oldest.next();
			oldest.remove();
		}
	}

}
