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
import org.almondmount.fleet.codec.RecordCodec;
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
 * Accepts jobs at any entry. Confined to the event loop thread.
 * <p>
 * A job is accepted once its row is in the store, which any entry can achieve without the
 * holder. A write without an answer may still take effect. From then on the job can no
 * longer be refused, and its caller is told that the outcome is unknown. Jobs that the
 * store does not accept at the moment wait in a queue, for as long as
 * {@link IntakePolicy} allows.
 */
final class JobIntake {

	private static final EventLog LOG = EventLog.of(JobIntake.class);

	/** Jobs that were not accepted, by reason. */
	private static final String REFUSALS_METRIC = "intake";

	/** No known caller waits longer than this for its job to be accepted. */
	private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(3);

	/**
	 * A store that is a hundred times slower than usual answers a write within 800 ms.
	 */
	private static final long SLOW_ANSWER_MILLIS = 950;

	/** Interval at which the queue is checked, in milliseconds. */
	private static final long QUEUE_CHECK_INTERVAL_MILLIS = 50;

	/** Delay between two writes that retry a store which refused, in milliseconds. */
	private static final long RETRY_INTERVAL_MILLIS = 150;

	/**
	 * Limit of queued jobs that are written concurrently once the store accepts writes.
	 */
	private static final int MAX_CONCURRENT_WRITES = 16;

	/**
	 * Limit of remembered jobs with an unknown outcome: more than callers leave behind
	 * within the retention time of ended jobs.
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

	private final ToIntFunction<Workflow> jobPriority;

	private final IntakePolicy policy = IntakePolicy.DEFAULT;

	private final IntakeQueue<IntakeAttempt> queue = new IntakeQueue<>(this.policy.maxWaiting());

	/** Jobs for which it is unknown whether they were accepted, oldest first. */
	private final Set<String> unsettledJobs = new LinkedHashSet<>();

	private int pendingWriteCount;

	private long nextRetryAtMillis = Long.MIN_VALUE;

	/**
	 * Creates an intake that processes no queued jobs before {@link #start()}.
	 * @param store the store of the jobs
	 * @param loop the event loop
	 * @param storeTimeout the timeout of store calls
	 * @param telemetry metrics of the process
	 * @param schedulerDriver the scheduler of this entry
	 * @param peers the other entries
	 * @param storeGossip which entries reach the store
	 * @param calls calls to the holder
	 * @param jobPriority returns the priority of a job, 0 for the most urgent
	 */
	JobIntake(RowStore store, EventLoop loop, AdaptiveStoreTimeout storeTimeout, Telemetry telemetry,
			SchedulerDriver schedulerDriver, PeerLinks peers, StoreGossip storeGossip, EntryCalls calls,
			ToIntFunction<Workflow> jobPriority) {
		this.store = store;
		this.loop = loop;
		this.storeTimeout = storeTimeout;
		this.telemetry = telemetry;
		this.schedulerDriver = schedulerDriver;
		this.peers = peers;
		this.storeGossip = storeGossip;
		this.calls = calls;
		this.jobPriority = jobPriority;
		telemetry.declare(REFUSALS_METRIC, IntakeRefusal.class);
	}

	void start() {
		this.loop.scheduleRepeatedly(QUEUE_CHECK_INTERVAL_MILLIS, this::checkQueue);
	}

	/**
	 * Accepts a job of a caller.
	 * @param job the job
	 * @param timeoutMillis the timeout of the caller
	 * @return the outcome
	 */
	CompletableFuture<Submission> submit(Workflow job, long timeoutMillis) {
		return startAttempt(job, timeoutMillis, false);
	}

	/**
	 * Accepts a job forwarded by another entry, which waits for the store itself.
	 * @param job the job
	 * @return the outcome
	 */
	CompletableFuture<Submission> submitForPeer(Workflow job) {
		return startAttempt(job, EntryCalls.HOLDER_TIMEOUT_MILLIS, true);
	}

	boolean hasWaitingJobs() {
		return this.queue.size() > 0;
	}

	/** Writes queued jobs when the store answers again. */
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

	// Each copy is awaited until its write timeout and the first answer counts; see
	// mayWrite.
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
		if (outcome instanceof RowStore.Commit.Committed) {
			onStored(attempt, sentAtMillis, false, Optional.of(attempt.job()));
		}
		else if (outcome instanceof RowStore.Commit.Conflict conflict) {
			onStored(attempt, sentAtMillis, true, storedJob(attempt, conflict));
		}
		else if (awaited && outcome instanceof RowStore.Commit.Refused refused) {
			attempt.setRefusal(IntakeRefusal.STORE_TURNS_AWAY, refused.why());
			forwardOrEnqueue(attempt);
		}
		else if (awaited && outcome instanceof RowStore.Commit.Unanswered unanswered) {
			onUnanswered(attempt, unanswered.why());
		}
	}

	private void onStored(IntakeAttempt attempt, long sentAtMillis, boolean repeated, Optional<Workflow> storedJob) {
		this.storeTimeout.onAnswer(this.loop.steadyMillis() - sentAtMillis);
		onAccepted(attempt, repeated, storedJob);
		writeQueued(MAX_CONCURRENT_WRITES);
	}

	// The row was written by an earlier submission of the job, whose queue may have had
	// another name by then. The holder has to decide by the row, as the next holder will.
	private static Optional<Workflow> storedJob(IntakeAttempt attempt, RowStore.Commit.Conflict conflict) {
		Place place = Tables.job(attempt.job().id());
		return conflict.current()
			.stream()
			.filter((row) -> row.place().equals(place))
			.findFirst()
			.flatMap((row) -> RowDecoder.decode(LOG, row, RecordCodec::readWorkflow));
	}

	private void onUnanswered(IntakeAttempt attempt, String reason) {
		this.storeTimeout.onTimeout();
		attempt.markUnsettled();
		attempt.setRefusal(IntakeRefusal.UNSETTLED, reason);
		enqueue(attempt);
	}

	// A job that was sent to a store that does not answer can no longer be refused. So if
	// no answer is expected, the job is not sent but forwarded to entries that may reach
	// the store, or queued.
	private void forwardOrEnqueue(IntakeAttempt attempt) {
		if (attempt.accepted()) {
			return;
		}
		Optional<String> peer = this.storeGossip.mayReachStore(attempt::mayForwardTo);
		long remainingMillis = attempt.remainingMillis(this.loop.steadyMillis());
		if (peer.isPresent() && remainingMillis > this.policy.responseMarginMillis()) {
			forward(attempt, peer.get());
			return;
		}
		enqueue(attempt);
	}

	private void enqueue(IntakeAttempt attempt) {
		long expiresAtMillis = this.policy.waitDeadline(attempt.arrivedMillis(), attempt.timeoutMillis(),
				attempt.unsettled());
		if (attempt.receivedFromPeer() || this.loop.steadyMillis() >= expiresAtMillis) {
			abandon(attempt);
			return;
		}
		int priority = this.jobPriority.applyAsInt(attempt.job());
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

	// A store that does not answer this entry may answer another one, or it may be slow
	// for all. A second copy would delay a slow store further, so the job is forwarded
	// only after the time within which a slow store would have answered.
	private boolean shouldForward(long nowMillis, IntakeAttempt attempt) {
		return this.storeTimeout.isSilenceExpected() && nowMillis - attempt.lastCopyAtMillis() >= SLOW_ANSWER_MILLIS
				&& this.storeGossip.mayReachStore(attempt::mayForwardTo).isPresent();
	}

	// One job tests whether a store that refused accepts writes again; the others follow
	// as fast as the store accepts them.
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

	// A lost answer is detected only by a timeout, so another copy is sent after a while.
	// But a store that has become slow answers the first copy after that timeout, and
	// slows down further with every copy. So each copy is still awaited, the first answer
	// counts, and the next copy is sent only when the last one exceeds the current
	// timeout, which follows the answers since.
	private boolean mayWrite(IntakeAttempt attempt) {
		long millisSinceLastCopy = this.loop.steadyMillis() - attempt.lastCopyAtMillis();
		return !attempt.hasPendingCopies() || millisSinceLastCopy >= this.storeTimeout.timeout().toMillis();
	}

	// The store may reject this entry and serve another one. Both write the same row on
	// the condition that it does not exist, so the order of the two writes does not
	// matter.
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
						onAccepted(attempt, false, Optional.of(attempt.job()));
						return;
					}
					if (status != EntryCalls.UNAVAILABLE) {
						attempt.markUnsettled();
					}
					forwardOrEnqueue(attempt);
				});
	}

	private void onAccepted(IntakeAttempt attempt, boolean repeated, Optional<Workflow> storedJob) {
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
		storedJob.ifPresent(this::notifyHolder);
	}

	private void notifyHolder(Workflow job) {
		if (this.schedulerDriver.mayDecide()) {
			this.schedulerDriver.onJobAccepted(job);
			return;
		}
		this.calls.notifyHolder(EntryCalls.ACCEPTED, job.id(), RecordCodec.write(job).getBytes(StandardCharsets.UTF_8));
	}

	// An earlier call with an unknown outcome may still take effect, so a later call for
	// the same job can't be refused either.
	private void abandon(IntakeAttempt attempt) {
		if (attempt.accepted()) {
			return;
		}
		long nowMillis = this.loop.steadyMillis();
		if (this.unsettledJobs.contains(attempt.job().id())) {
			attempt.markUnsettled();
		}
		IntakeRefusal reason = attempt.reason();
		Duration retryAfter = this.policy.retryAfter(reason, attempt.remainingMillis(nowMillis));
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
