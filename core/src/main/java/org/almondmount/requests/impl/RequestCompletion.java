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
 * Ends requests: each exactly once, with what is true of all its attempts. Not
 * thread-safe.
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
	 * Requests whose keys are being claimed.
	 * @return a count
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

	// The request was refused while its claim was on the way. A claim that is made after
	// all would answer every repeat with "in use".
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
	 * Refuses a request with what is true of its attempts.
	 * @param request the request
	 * @param reason why
	 * @param detail what was found
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
	 * Refuses a request that never was taken in.
	 * @param request the request
	 * @param refusal the refusal
	 */
	void refuse(RequestId request, Refusal refusal) {
		this.state.explanationLog()
			.add(request, "refused (" + refusal.reason().externalName() + ", " + refusal.runState().externalName()
					+ "): " + refusal.detail());
		this.state.addCommand(new RequestCommand.Refuse(request, refusal));
	}

	// Takes the request out of every table and tells targets that nobody waits any more.
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

	// A driver may clear up after ended requests by itself and then never tell.
	private void abandonClaim(RequestId request) {
		this.abandonedClaims.add(request);
		if (this.abandonedClaims.size() > MAX_ABANDONED_CLAIMS) {
			this.abandonedClaims.remove(this.abandonedClaims.iterator().next());
		}
	}

}
