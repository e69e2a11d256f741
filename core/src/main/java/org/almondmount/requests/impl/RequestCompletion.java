package org.almondmount.requests.impl;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.RequestId;
import org.almondmount.model.RunState;
import org.almondmount.model.TargetId;
import org.almondmount.requests.RequestCommand;
import org.almondmount.requests.RequestEvent.KeyClaimOutcome;

/**
 * Completes each request exactly once, with an outcome that is accurate for all of its
 * attempts. Not thread-safe.
 */
final class RequestCompletion {

	private static final int MAX_ABANDONED_CLAIMS = 10_000;

	private final RouterState state;

	private final Set<RequestId> abandonedClaims = new LinkedHashSet<>();

	private int pendingClaimCount;

	RequestCompletion(RouterState state) {
		this.state = state;
	}

	/**
	 * Number of requests whose keys are being claimed.
	 * @return the number of requests
	 */
	int pendingClaimCount() {
		return this.pendingClaimCount;
	}

	void beginClaim(RequestRecord request) {
		request.enterPhase(RequestRecord.Phase.CLAIMING);
		this.pendingClaimCount++;
		this.state.addCommand(new RequestCommand.ClaimKey(request.id()));
	}

	void endClaim(RequestRecord request) {
		request.enterPhase(RequestRecord.Phase.QUEUED);
		this.pendingClaimCount--;
	}

	// The request was refused while its claim was in progress. If the claim still
	// succeeds and is not released, every repetition of the request is refused because
	// the key is in use.
	void onLateClaimOutcome(RequestId request, KeyClaimOutcome outcome) {
		boolean mayHold = outcome == KeyClaimOutcome.CLAIMED || outcome == KeyClaimOutcome.UNKNOWN;
		if (this.abandonedClaims.remove(request) && mayHold) {
			this.state.addCommand(new RequestCommand.ReleaseKey(request));
		}
	}

	void deliver(RequestRecord request, int attempt) {
		this.state.addCommand(new RequestCommand.Deliver(request.id(), attempt));
		complete(request);
	}

	void deliverRecorded(RequestRecord request) {
		this.state.addCommand(new RequestCommand.DeliverRecorded(request.id()));
		complete(request);
	}

	/**
	 * Refuses a request and reports whether any of its attempts may have run.
	 * @param request the request
	 * @param reason the reason
	 * @param detail the details for the caller
	 */
	void refuse(RequestRecord request, RefusalReason reason, String detail) {
		boolean isRetryUseful = reason != RefusalReason.TARGET_LOST && reason != RefusalReason.BAD_ANSWER
				&& reason != RefusalReason.CALLER_GONE;
		Duration retryAfter = isRetryUseful ? this.state.policy().busyRetryAfter() : Duration.ZERO;
		refuse(request, new Refusal(reason, request.runState(), detail, retryAfter));
	}

	void refuse(RequestRecord request, Refusal refusal) {
		complete(request);
		if (request.mayHoldKey() && request.runState() == RunState.NOT_RUN) {
			this.state.addCommand(new RequestCommand.ReleaseKey(request.id()));
		}
		refuse(request.id(), refusal);
	}

	/**
	 * Refuses a request that was never admitted.
	 * @param request the request
	 * @param refusal the refusal
	 */
	void refuse(RequestId request, Refusal refusal) {
		this.state.explanationLog()
			.add(request, "refused (" + refusal.reason().externalName() + ", " + refusal.runState().externalName()
					+ "): " + refusal.detail());
		this.state.addCommand(new RequestCommand.Refuse(request, refusal));
	}

	// Removes the request from all tables and cancels its open attempts at their targets.
	private void complete(RequestRecord request) {
		this.state.requests().remove(request.id());
		if (request.phase() == RequestRecord.Phase.QUEUED) {
			this.state.queue().remove(request);
		}
		if (request.phase() == RequestRecord.Phase.CLAIMING) {
			this.pendingClaimCount--;
			abandonClaim(request.id());
		}
		for (Map.Entry<Integer, TargetId> open : request.openAttempts().entrySet()) {
			this.state.addCommand(new RequestCommand.CancelAttempt(request.id(), open.getKey(), open.getValue()));
		}
	}

	// Bounds the set: a driver may release the claims of completed requests itself and
	// never report their outcome.
	private void abandonClaim(RequestId request) {
		this.abandonedClaims.add(request);
		if (this.abandonedClaims.size() > MAX_ABANDONED_CLAIMS) {
			this.abandonedClaims.remove(this.abandonedClaims.iterator().next());
		}
	}

}
