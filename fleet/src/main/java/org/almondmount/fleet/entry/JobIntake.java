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

import org.almondmount.fleet.AdaptiveStoreTimeout;
import org.almondmount.fleet.EventLoop;
import org.almondmount.fleet.Submission;
import org.almondmount.fleet.Tables;
import org.almondmount.intake.IntakeLine;
import org.almondmount.intake.IntakePolicy;
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
	private static final String REFUSALS_METRIC = "intake";

	/** No caller is known to wait longer for its job to be accepted. */
	private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(3);

	/** A store that is a hundred times slower answers a write within 800 ms. */
	private static final long SLOW_ANSWER_MILLIS = 950;

	/** How often the line is looked at, in milliseconds. */
	private static final long QUEUE_CHECK_INTERVAL_MILLIS = 50;

	/** Pause between two writes by which a store that refused is tried again. */
	private static final long RETRY_INTERVAL_MILLIS = 150;

	/** Jobs of the line that are written at the same time once the store takes them. */
	private static final int MAX_CONCURRENT_WRITES = 16;

	/**
	 * Unsettled jobs that are remembered: more than callers leave within a status's time.
	 */
	private static final int MAX_UNSETTLED_JOBS = 4_096;

	private final RowStore store;

	private final EventLoop loop;

	private final AdaptiveStoreTimeout storeTimeout;

	private final Telemetry telemetry;

	private final SchedulerDriver schedulerDriver;

	private final PeerLinks peers;

	private final StoreGossip storeGossip;

	private final EntryCalls calls;

	private final ToIntFunction<String> queuePriority;

	private final IntakePolicy policy = IntakePolicy.DEFAULT;

	private final IntakeLine<IntakeAttempt> queue = new IntakeLine<>(this.policy.mostWaiting());

	/** Jobs of which nobody can tell whether they were accepted, the oldest first. */
	private final Set<String> unsettledJobs = new LinkedHashSet<>();

	private int pendingWriteCount;

	private long nextRetryAtMillis = Long.MIN_VALUE;

	/**
	 * Makes an intake that takes nothing out of its line before {@link #start()}.
	 * @param store where jobs are kept
	 * @param loop the thread
	 * @param storeTimeout how long the store is waited for
	 * @param telemetry the process's metrics
	 * @param schedulerDriver the scheduler of this entry
	 * @param peers the other entries
	 * @param storeGossip which of them reach the store
	 * @param calls the way to the holder
	 * @param queuePriority the priority of a queue, 0 for the most urgent
	 */
	JobIntake(RowStore store, EventLoop loop, AdaptiveStoreTimeout storeTimeout, Telemetry telemetry,
			SchedulerDriver schedulerDriver, PeerLinks peers, StoreGossip storeGossip, EntryCalls calls,
			ToIntFunction<String> queuePriority) {
		this.store = store;
		this.loop = loop;
		this.storeTimeout = storeTimeout;
		this.telemetry = telemetry;
		this.schedulerDriver = schedulerDriver;
		this.peers = peers;
		this.storeGossip = storeGossip;
		this.calls = calls;
		this.queuePriority = queuePriority;
		telemetry.declare(REFUSALS_METRIC, IntakeRefusal.class);
	}

	void start() {
		this.loop.scheduleRepeatedly(QUEUE_CHECK_INTERVAL_MILLIS, this::checkQueue);
	}

	/**
	 * Accepts a job of a caller.
	 * @param job the job
	 * @param timeoutMillis the time that its caller gives
	 * @return what became of it
	 */
	CompletableFuture<Submission> submit(Workflow job, long timeoutMillis) {
		return startAttempt(job, timeoutMillis, false);
	}

	/**
	 * Accepts a job that came to another entry, which waits for the store itself.
	 * @param job the job
	 * @return what became of it
	 */
	CompletableFuture<Submission> submitForPeer(Workflow job) {
		return startAttempt(job, EntryCalls.HOLDER_TIMEOUT_MILLIS, true);
	}

	boolean hasWaitingJobs() {
		return this.queue.size() > 0;
	}

	/** The store answers again. */
	void onStoreAnswering() {
		writeQueued(MAX_CONCURRENT_WRITES);
	}

	private CompletableFuture<Submission> startAttempt(Workflow job, long timeoutMillis, boolean receivedFromPeer) {
		CompletableFuture<Submission> outcome = new CompletableFuture<>();
		IntakeAttempt attempt = new IntakeAttempt(job, this.loop.steadyMillis(), timeoutMillis, receivedFromPeer,
				outcome);
		if (this.unsettledJobs.contains(job.id())) {
			attempt.markUnsettled();
		}
		if (this.storeTimeout.isSilenceExpected()) {
			attempt.setRefusal(IntakeRefusal.STORE_SILENT, "");
			forwardOrEnqueue(attempt);
		}
		else {
			write(attempt);
		}
		return outcome;
	}

	// Each copy is waited for to the end and the first answer counts; see mayBeWritten.
	private void write(IntakeAttempt attempt) {
		Place place = Tables.job(attempt.job().id());
		long sentAtMillis = this.loop.steadyMillis();
		int copy = attempt.startCopy(sentAtMillis);
		this.pendingWriteCount++;
		this.loop.schedule(this.storeTimeout.timeout().toMillis(), () -> onOverdue(attempt, copy, sentAtMillis));
		this.loop.onCompletion(this.store.commit(List.of(new Condition(place, 0)),
				List.of(new Write(place, Optional.of(attempt.rowValue()))), WRITE_TIMEOUT), (outcome) -> {
					boolean awaited = stopAwaiting(attempt, copy);
					attempt.endCopy();
					onWriteEnded(attempt, sentAtMillis, outcome, awaited);
				});
	}

	private void onOverdue(IntakeAttempt attempt, int copy, long sentAtMillis) {
		if (stopAwaiting(attempt, copy)) {
			onUnanswered(attempt, "no answer yet after " + (this.loop.steadyMillis() - sentAtMillis) + " ms");
		}
	}

	private boolean stopAwaiting(IntakeAttempt attempt, int copy) {
		if (!attempt.stopAwaiting(copy)) {
			return false;
		}
		this.pendingWriteCount--;
		return true;
	}

	private void onWriteEnded(IntakeAttempt attempt, long sentAtMillis, RowStore.Commit outcome, boolean awaited) {
		if (outcome instanceof RowStore.Commit.Committed || outcome instanceof RowStore.Commit.Conflict) {
			this.storeTimeout.onAnswer(this.loop.steadyMillis() - sentAtMillis);
			onAccepted(attempt, outcome instanceof RowStore.Commit.Conflict);
			writeQueued(MAX_CONCURRENT_WRITES);
		}
		else if (awaited && outcome instanceof RowStore.Commit.Refused refused) {
			attempt.setRefusal(IntakeRefusal.STORE_TURNS_AWAY, refused.why());
			forwardOrEnqueue(attempt);
		}
		else if (awaited && outcome instanceof RowStore.Commit.Unanswered unanswered) {
			onUnanswered(attempt, unanswered.why());
		}
	}

	private void onUnanswered(IntakeAttempt attempt, String reason) {
		this.storeTimeout.onTimeout();
		attempt.markUnsettled();
		attempt.setRefusal(IntakeRefusal.UNSETTLED, reason);
		enqueue(attempt);
	}

	// A job that was sent to a store that does not answer can no longer be refused. So
	// where no answer is to be expected it is not sent, but passed on to the entries that
	// may reach the store, and waits.
	private void forwardOrEnqueue(IntakeAttempt attempt) {
		if (attempt.accepted()) {
			return;
		}
		Optional<String> peer = this.storeGossip.mayReachStore(attempt::mayForwardTo);
		long remainingMillis = attempt.remainingMillis(this.loop.steadyMillis());
		if (peer.isPresent() && remainingMillis > this.policy.wayBackMillis()) {
			forward(attempt, peer.get());
			return;
		}
		enqueue(attempt);
	}

	private void enqueue(IntakeAttempt attempt) {
		long expiresAtMillis = this.policy.waitsUntil(attempt.arrivedMillis(), attempt.timeoutMillis(),
				attempt.unsettled());
		if (attempt.receivedFromPeer() || this.loop.steadyMillis() >= expiresAtMillis) {
			abandon(attempt);
			return;
		}
		int priority = this.queuePriority.applyAsInt(attempt.job().queue());
		if (!this.queue.add(priority, expiresAtMillis, attempt)) {
			attempt.setRefusal(IntakeRefusal.TOO_MANY_WAIT, "");
			abandon(attempt);
		}
	}

	private void checkQueue() {
		long nowMillis = this.loop.steadyMillis();
		this.queue.takeExpired(nowMillis).forEach(this::abandon);
		this.queue.takeFirst((attempt) -> shouldForward(nowMillis, attempt)).ifPresent(this::forwardOrEnqueue);
		boolean retry = nowMillis >= this.nextRetryAtMillis && this.pendingWriteCount == 0
				&& !this.storeTimeout.isSilenceExpected();
		if (retry && this.queue.size() > 0) {
			this.nextRetryAtMillis = nowMillis + RETRY_INTERVAL_MILLIS;
			writeQueued(1);
		}
	}

	// A store that does not answer this entry may answer another one, or be slow for all.
	// A slow one would be held up by a second copy, so that is asked for only when a slow
	// answer would have come.
	private boolean shouldForward(long nowMillis, IntakeAttempt attempt) {
		return this.storeTimeout.isSilenceExpected() && nowMillis - attempt.lastCopyAtMillis() >= SLOW_ANSWER_MILLIS
				&& this.storeGossip.mayReachStore(attempt::mayForwardTo).isPresent();
	}

	// One job finds out whether a store that refused takes jobs again; the others follow
	// as fast as it takes them.
	private void writeQueued(int maxConcurrentWrites) {
		while (this.pendingWriteCount < maxConcurrentWrites) {
			Optional<IntakeAttempt> next = this.queue.takeFirst(this::mayWrite);
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
	private boolean mayWrite(IntakeAttempt attempt) {
		long millisSinceLastCopy = this.loop.steadyMillis() - attempt.lastCopyAtMillis();
		return !attempt.hasPendingCopies() || millisSinceLastCopy >= this.storeTimeout.timeout().toMillis();
	}

	// The store may turn away this entry and serve another one. Both write the same row
	// on the condition that it is not there, so it does not matter whose write is first.
	private void forward(IntakeAttempt attempt, String peer) {
		attempt.markForwardedTo(peer);
		LOG.info("job-passed-on", "job", attempt.job().id(), "to", peer, "sentToStore", attempt.hasPendingCopies(),
				"why", attempt.reason());
		long remainingMillis = attempt.remainingMillis(this.loop.steadyMillis());
		byte[] body = attempt.rowValue().getBytes(StandardCharsets.UTF_8);
		this.loop.onCompletion(this.peers.call(peer, EntryCalls.SUBMIT, attempt.job().id(), body,
				Math.min(remainingMillis, EntryCalls.HOLDER_TIMEOUT_MILLIS)), (answer) -> {
					int status = answer.map(Message.ForwardAnswer::status).orElse(EntryCalls.UNSETTLED);
					if (status == EntryCalls.OK) {
						onAccepted(attempt, false);
						return;
					}
					if (status != EntryCalls.UNAVAILABLE) {
						attempt.markUnsettled();
					}
					forwardOrEnqueue(attempt);
				});
	}

	private void onAccepted(IntakeAttempt attempt, boolean repeated) {
		if (attempt.accepted()) {
			return;
		}
		attempt.markAccepted();
		LOG.info("job-accepted", "job", attempt.job().id(), "queue", attempt.job().queue(), "customer",
				attempt.job().customer(), "repeated", repeated, "afterMillis",
				this.loop.steadyMillis() - attempt.arrivedMillis());
		this.telemetry.count(repeated ? "jobs.repeated" : "jobs.accepted");
		this.unsettledJobs.remove(attempt.job().id());
		attempt.outcome().complete(new Submission.Accepted());
		if (this.schedulerDriver.mayDecide()) {
			this.schedulerDriver.onJobAccepted(attempt.job());
			return;
		}
		this.calls.notifyHolder(EntryCalls.ACCEPTED, attempt.job().id(),
				attempt.rowValue().getBytes(StandardCharsets.UTF_8));
	}

	// What an earlier call left unsettled may still take effect, so a later call for the
	// same job can't be refused either.
	private void abandon(IntakeAttempt attempt) {
		if (attempt.accepted()) {
			return;
		}
		long nowMillis = this.loop.steadyMillis();
		if (this.unsettledJobs.contains(attempt.job().id())) {
			attempt.markUnsettled();
		}
		IntakeRefusal reason = attempt.reason();
		Duration retryAfter = this.policy.comeBackAfter(reason, attempt.remainingMillis(nowMillis));
		this.telemetry.count(attempt.unsettled() ? "jobs.unsettled" : "jobs.refused");
		this.telemetry.count(REFUSALS_METRIC, reason);
		LOG.warn("job-not-accepted", "job", attempt.job().id(), "outcome", reason, "why", attempt.detail(),
				"waitedMillis", nowMillis - attempt.arrivedMillis(), "patienceMillis", attempt.timeoutMillis(),
				"comeBackMillis", retryAfter.toMillis());
		if (attempt.unsettled()) {
			this.unsettledJobs.add(attempt.job().id());
			evictOldest(this.unsettledJobs);
			attempt.outcome().complete(new Submission.Unsettled(retryAfter));
			return;
		}
		attempt.outcome().complete(new Submission.Refused(reason, retryAfter));
	}

	private static void evictOldest(Set<String> jobs) {
		if (jobs.size() > MAX_UNSETTLED_JOBS) {
			Iterator<String> oldest = jobs.iterator();
			oldest.next();
			oldest.remove();
		}
	}

}
