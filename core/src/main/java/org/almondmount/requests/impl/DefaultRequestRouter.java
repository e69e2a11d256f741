package org.almondmount.requests.impl;

import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.RequestId;
import org.almondmount.model.RunState;
import org.almondmount.model.TargetId;
import org.almondmount.requests.RequestCommand;
import org.almondmount.requests.RequestEvent;
import org.almondmount.requests.RequestEvent.AnswerKind;
import org.almondmount.requests.RequestPolicy;
import org.almondmount.requests.RequestRouter;
import org.almondmount.requests.RetryReason;

/**
 * Default implementation of the request router. Deterministic; not thread-safe.
 * <p>
 * Each request is in exactly one phase: its key is being claimed, it is queued, or it has
 * open attempts. It completes exactly once, with an answer or a refusal. An attempt whose
 * result is no longer needed still occupies a slot of its target until the target reports
 * its end.
 */
public final class DefaultRequestRouter implements RequestRouter {

	private static final long SWEEP_INTERVAL_MILLIS = 50;

	private final RouterState state;

	private final Admission admission;

	private final RequestCompletion completion;

	private final Dispatcher dispatcher;

	private final TargetHealth health;

	private final PriorityQueue<Timer> deadlines = new PriorityQueue<>();

	private boolean draining;

	private long requestedWakeUpMillis = Long.MAX_VALUE;

	private long lastSweepMillis = Long.MIN_VALUE / 2;

	public DefaultRequestRouter(RequestPolicy policy, RandomGenerator random) {
		this.state = new RouterState(policy, random);
		this.admission = new Admission(policy, this.state.queue());
		this.completion = new RequestCompletion(this.state);
		this.dispatcher = new Dispatcher(this.state, this.admission, this.completion);
		this.health = new TargetHealth(this.state);
	}

	@Override
	public int outstandingCount() {
		return this.state.requests().size();
	}

	@Override
	public List<String> explain(RequestId request) {
		return this.state.explanationLog().get(request);
	}

	@Override
	public List<RequestCommand> handle(long now, RequestEvent event) {
		expireDeadlines(now);
		handleEvent(now, event);
		this.dispatcher.dispatchWaiting(now);
		requestWakeUp(now);
		return this.state.takeCommands();
	}

	private void handleEvent(long now, RequestEvent event) {
		if (event instanceof RequestEvent.Arrived arrived) {
			onArrived(now, arrived);
		}
		else if (event instanceof RequestEvent.CallerGone gone) {
			onCallerGone(gone.request());
		}
		else if (event instanceof RequestEvent.Answered answered) {
			onAnswered(now, answered);
		}
		else if (event instanceof RequestEvent.NotStarted notStarted) {
			onNotStarted(now, notStarted);
		}
		else if (event instanceof RequestEvent.Broken broken) {
			onBroken(now, broken);
		}
		else if (event instanceof RequestEvent.NotSent notSent) {
			onNotSent(now, notSent);
		}
		else if (event instanceof RequestEvent.KeyClaimEnded decided) {
			onKeyClaimEnded(decided);
		}
		else if (event instanceof RequestEvent.ConfigurationChanged changed) {
			this.state.acceptConfiguration(changed.configuration());
		}
		else if (event instanceof RequestEvent.Draining) {
			this.draining = true;
		}
		else {
			handleTargetEvent(now, event);
		}
	}

	private void handleTargetEvent(long now, RequestEvent event) {
		if (event instanceof RequestEvent.TargetJoined joined) {
			onTargetLost(now, joined.target());
			this.state.targets().join(now, joined.target(), joined.zone(), joined.slots());
		}
		else if (event instanceof RequestEvent.TargetSlotsChanged lent) {
			this.state.targets().find(lent.target()).ifPresent((target) -> target.setSlots(lent.slots()));
		}
		else if (event instanceof RequestEvent.TargetDraining leaving) {
			this.state.targets().find(leaving.target()).ifPresent(TargetRecord::startDraining);
		}
		else if (event instanceof RequestEvent.TargetLost lost) {
			onTargetLost(now, lost.target());
		}
	}

	private void onArrived(long now, RequestEvent.Arrived arrived) {
		if (this.state.requests().containsKey(arrived.request())) {
			return;
		}
		Optional<Refusal> refusal = refusalOnArrival(now, arrived);
		if (refusal.isPresent()) {
			this.completion.refuse(arrived.request(), refusal.get());
			return;
		}
		RequestRecord request = new RequestRecord(arrived, now);
		this.state.requests().put(request.id(), request);
		this.deadlines.add(new Timer(request.deadline(), request.id()));
		if (request.key().isPresent()) {
			this.completion.beginClaim(request);
			return;
		}
		this.state.queue().add(request);
	}

	private Optional<Refusal> refusalOnArrival(long now, RequestEvent.Arrived arrived) {
		if (this.draining) {
			return Optional.of(Refusal.notRun(RefusalReason.DRAINING, "the entry is shutting down"));
		}
		if (this.state.configuration() == null) {
			return Optional
				.of(Refusal.notRun(RefusalReason.NO_CONFIGURATION, "the entry has not received a configuration yet")
					.withRetryAfter(this.state.policy().busyRetryAfter()));
		}
		Optional<Refusal> noTarget = this.dispatcher.noTargetRefusal(now);
		if (noTarget.isPresent()) {
			return noTarget;
		}
		int slots = this.state.targets().usableSlots(now, this.state.configuration());
		return this.admission.check(now, this.state.configuration(), arrived.customer(), arrived.deadlineMillis(),
				this.completion.pendingClaimCount(), slots);
	}

	private void onCallerGone(RequestId id) {
		RequestRecord request = this.state.requests().get(id);
		if (request == null) {
			return;
		}
		request.markCallerGone();
		// A repeated request with the same key needs the outcome of this one, so the
		// answer is still recorded.
		if (request.key().isPresent() && request.runState() == RunState.MAY_HAVE_RUN) {
			this.state.explanationLog()
				.add(id, "the caller closed its connection; the answer will be recorded for its key");
			return;
		}
		this.completion.refuse(request, RefusalReason.CALLER_GONE, "the caller closed its connection");
	}

	private void onTargetLost(long now, TargetId id) {
		TargetRecord target = this.state.targets().remove(id);
		if (target == null) {
			return;
		}
		for (InFlightAttempt inFlight : target.inFlightAttempts()) {
			this.state.queue().onAttemptEnded(inFlight.customer(), now - inFlight.sentAt(), false);
			RequestRecord request = this.state.requests().get(inFlight.request());
			if (request != null && request.isOpen(inFlight.attempt(), id)) {
				request.closeMayHaveRun(inFlight.attempt());
				retryOrRefuse(now, request, RetryReason.TARGET_LOST, RefusalReason.TARGET_LOST,
						"the connection to target " + id + " was lost");
			}
		}
	}

	private void onAnswered(long now, RequestEvent.Answered answered) {
		RequestRecord request = releaseSlotAndFindOpenRequest(now, answered.request(), answered.attempt(),
				answered.target(), true);
		this.health.onAnswered(now, answered.target(), answered.kind());
		if (request == null) {
			return;
		}
		request.closeMayHaveRun(answered.attempt());
		this.state.explanationLog()
			.add(request.id(), "target " + answered.target() + " answered attempt " + answered.attempt());
		boolean shouldRetry = answered.kind() == AnswerKind.ERROR && request.isIdempotent()
				&& request.openAttempts().isEmpty();
		if (shouldRetry && this.dispatcher.retry(now, request, RetryReason.ERROR_ANSWER)) {
			return;
		}
		this.completion.deliver(request, answered.attempt());
	}

	private void onNotStarted(long now, RequestEvent.NotStarted event) {
		RequestRecord request = releaseSlotAndFindOpenRequest(now, event.request(), event.attempt(), event.target(),
				false);
		this.health.onRefused(now, event.target());
		if (request == null) {
			return;
		}
		request.closeNotRun(event.attempt());
		retryOrRefuse(now, request, RetryReason.NOT_STARTED, RefusalReason.TARGETS_BUSY,
				"target " + event.target() + " did not start the request (" + event.reason() + ")");
	}

	private void onBroken(long now, RequestEvent.Broken event) {
		RequestRecord request = releaseSlotAndFindOpenRequest(now, event.request(), event.attempt(), event.target(),
				false);
		this.health.onBroken(now, event.target());
		if (request == null) {
			return;
		}
		request.closeMayHaveRun(event.attempt());
		retryOrRefuse(now, request, RetryReason.BROKEN, RefusalReason.BAD_ANSWER,
				"the instance of target " + event.target() + " returned no complete answer (" + event.reason() + ")");
	}

	private void onNotSent(long now, RequestEvent.NotSent event) {
		RequestRecord request = releaseSlotAndFindOpenRequest(now, event.request(), event.attempt(), event.target(),
				false);
		this.state.targets().find(event.target()).ifPresent(TargetRecord::markConnectionFull);
		if (request == null) {
			return;
		}
		request.closeNotRun(event.attempt());
		retryOrRefuse(now, request, RetryReason.NOT_SENT, RefusalReason.TARGETS_BUSY,
				"the connection to target " + event.target() + " accepted no message");
	}

	// Releases the slot in any case. Returns the request only if this attempt is still
	// open, so that late, reordered and duplicated messages have no effect on it.
	private RequestRecord releaseSlotAndFindOpenRequest(long now, RequestId id, int attempt, TargetId targetId,
			boolean representative) {
		TargetRecord target = this.state.targets().get(targetId);
		if (target != null) {
			InFlightAttempt inFlight = target.releaseSlot(now, id, attempt);
			if (inFlight != null) {
				this.state.queue().onAttemptEnded(inFlight.customer(), now - inFlight.sentAt(), representative);
			}
		}
		RequestRecord request = this.state.requests().get(id);
		if (request == null || !request.isOpen(attempt, targetId)) {
			return null;
		}
		return request;
	}

	private void retryOrRefuse(long now, RequestRecord request, RetryReason reason, RefusalReason refusal,
			String detail) {
		this.state.explanationLog().add(request.id(), detail);
		if (!request.openAttempts().isEmpty()) {
			return;
		}
		boolean retryPermitted = request.isIdempotent() || request.runState() == RunState.NOT_RUN;
		if (retryPermitted && this.dispatcher.retry(now, request, reason)) {
			return;
		}
		boolean budgetExhausted = retryPermitted && this.dispatcher.budgetExhausted();
		this.completion.refuse(request, budgetExhausted ? RefusalReason.RETRY_BUDGET : refusal, detail);
	}

	private void onKeyClaimEnded(RequestEvent.KeyClaimEnded event) {
		RequestRecord request = this.state.requests().get(event.request());
		if (request == null || request.phase() != RequestRecord.Phase.CLAIMING) {
			this.completion.onLateClaimOutcome(event.request(), event.outcome());
			return;
		}
		this.completion.endClaim(request);
		switch (event.outcome()) {
			case CLAIMED -> {
				request.markKeyHeld();
				this.state.queue().add(request);
			}
			case ANSWERED_BEFORE -> this.completion.deliverRecorded(request);
			case HELD_BY_OTHER -> refuseClaim(request, Refusal.mayHaveRun(RefusalReason.KEY_IN_USE,
					"the outcome of an earlier request with this key is not known yet"));
			case DIFFERENT_CONTENT -> this.completion.refuse(request,
					Refusal.notRun(RefusalReason.KEY_REUSED, "the key was used for other content"));
			case STORE_AWAY -> refuseClaim(request,
					Refusal.notRun(RefusalReason.STORE_AWAY, "the key could not be claimed and nothing was sent"));
			case UNKNOWN -> {
				request.markKeyHeld();
				refuseClaim(request, Refusal.notRun(RefusalReason.STORE_UNKNOWN,
						"it is not known whether the key was claimed; nothing was sent, but the key may remain claimed"));
			}
		}
	}

	private void refuseClaim(RequestRecord request, Refusal refusal) {
		this.completion.refuse(request, refusal.withRetryAfter(this.state.policy().busyRetryAfter()));
	}

	private void expireDeadlines(long now) {
		while (!this.deadlines.isEmpty() && this.deadlines.peek().atMillis() <= now) {
			RequestRecord request = this.state.requests().get(this.deadlines.poll().request());
			if (request != null && request.deadline() <= now) {
				this.completion.refuse(request, RefusalReason.DEADLINE, "the deadline passed");
			}
		}
		if (now - this.lastSweepMillis >= SWEEP_INTERVAL_MILLIS) {
			this.lastSweepMillis = now;
			this.health.sweep(now);
			this.dispatcher.hedge(now);
		}
	}

	private void requestWakeUp(long now) {
		boolean hasDeadlines = !this.deadlines.isEmpty() && !this.state.requests().isEmpty();
		long wakeUpMillis = hasDeadlines ? this.deadlines.peek().atMillis() : Long.MAX_VALUE;
		if (this.state.queue().size() > 0) {
			wakeUpMillis = Math.min(wakeUpMillis, this.dispatcher.noTargetDeadline());
		}
		boolean alreadyRequested = this.requestedWakeUpMillis > now && this.requestedWakeUpMillis <= wakeUpMillis;
		if (wakeUpMillis == Long.MAX_VALUE || alreadyRequested) {
			return;
		}
		this.requestedWakeUpMillis = Math.max(now + 1, wakeUpMillis);
		this.state.addCommand(new RequestCommand.WakeAt(this.requestedWakeUpMillis));
	}

	private record Timer(long atMillis, RequestId request) implements Comparable<Timer> {

		@Override
		public int compareTo(Timer other) {
			return Long.compare(this.atMillis, other.atMillis);
		}

	}

}
