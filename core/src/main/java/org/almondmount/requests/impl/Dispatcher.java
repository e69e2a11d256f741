package org.almondmount.requests.impl;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.almondmount.model.Configuration;
import org.almondmount.model.CustomerId;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.TargetId;
import org.almondmount.requests.RequestCommand;
import org.almondmount.requests.RetryReason;

/**
 * Sends queued requests to targets. Not thread-safe.
 */
final class Dispatcher {

	private final RouterState state;

	private final Admission admission;

	private final RequestCompletion completion;

	private long noTargetSince = Long.MAX_VALUE;

	private boolean budgetExhausted;

	Dispatcher(RouterState state, Admission admission, RequestCompletion completion) {
		this.state = state;
		this.admission = admission;
		this.completion = completion;
	}

	/**
	 * The time at which queued requests are refused because no target can serve them.
	 * @return the time, or {@code Long.MAX_VALUE} while there is a target
	 */
	long noTargetDeadline() {
		if (this.noTargetSince == Long.MAX_VALUE) {
			return Long.MAX_VALUE;
		}
		return this.noTargetSince + this.state.policy().noTargetTimeout().toMillis();
	}

	// Sends as many queued requests as the free slots allow.
	void dispatchWaiting(long now) {
		Configuration configuration = this.state.configuration();
		if (configuration == null || this.state.queue().size() == 0) {
			return;
		}
		if (!this.state.targets().anyMayServe(configuration)) {
			refuseAfterNoTargetTimeout(now);
			return;
		}
		this.noTargetSince = Long.MAX_VALUE;
		while (this.state.targets().anyFreeSlot(now, configuration) && sendNext(now, configuration)) {
			continue;
		}
	}

	/**
	 * Checks whether a request that arrives now has to be refused because there is no
	 * target.
	 * @param now the time
	 * @return a refusal if there has been no target for the whole timeout, otherwise
	 * empty
	 */
	Optional<Refusal> noTargetRefusal(long now) {
		if (this.state.targets().anyMayServe(this.state.configuration())) {
			this.noTargetSince = Long.MAX_VALUE;
		}
		return (now >= noTargetDeadline()) ? Optional.of(noTargetRefusal()) : Optional.empty();
	}

	/**
	 * Queues a request again for another target if a retry is permitted.
	 * @param now the time
	 * @param request the request
	 * @param reason the reason for the retry
	 * @return false if attempts, time, targets or the retry budget are exhausted
	 */
	boolean retry(long now, RequestRecord request, RetryReason reason) {
		if (!mayRetry(now, request)) {
			return false;
		}
		this.state.addCommand(new RequestCommand.CountRetry(reason));
		this.state.explanationLog().add(request.id(), "it is retried on another target: " + reason.externalName());
		request.enterPhase(RequestRecord.Phase.QUEUED);
		this.state.queue().addFirst(request);
		return true;
	}

	/**
	 * Whether the last retry was denied only because the retry budget is exhausted.
	 * @return true if it was
	 */
	boolean budgetExhausted() {
		return this.budgetExhausted;
	}

	/**
	 * Sends slow idempotent requests to a second target if hedging is enabled.
	 * @param now the time
	 */
	void hedge(long now) {
		if (this.state.policy().hedgeAfter().isEmpty()) {
			return;
		}
		long delayMillis = this.state.policy().hedgeAfter().get().toMillis();
		for (RequestRecord request : List.copyOf(this.state.requests().values())) {
			boolean slow = request.isIdempotent() && request.openAttempts().size() == 1
					&& now - request.sentAt() >= delayMillis;
			if (slow && request.attemptCount() < this.state.policy().maxAttempts()) {
				hedge(now, request);
			}
		}
	}

	private void hedge(long now, RequestRecord request) {
		Optional<TargetRecord> target = this.state.targets()
			.choose(now, this.state.configuration(), request.triedTargets());
		if (target.isEmpty() || !this.state.retryBudget().tryWithdraw()) {
			return;
		}
		this.state.addCommand(new RequestCommand.CountRetry(RetryReason.SLOW));
		this.state.queue().chargeEstimate(request.customer());
		send(now, request, target.get());
	}

	private boolean mayRetry(long now, RequestRecord request) {
		this.budgetExhausted = false;
		boolean exhausted = request.callerGone() || request.deadline() <= now
				|| request.attemptCount() >= this.state.policy().maxAttempts();
		if (exhausted || !this.state.targets().anyUntried(now, this.state.configuration(), request.triedTargets())) {
			return false;
		}
		this.budgetExhausted = !this.state.retryBudget().tryWithdraw();
		return !this.budgetExhausted;
	}

	private boolean sendNext(long now, Configuration configuration) {
		int maxInFlight = this.admission.maxInFlight(configuration,
				this.state.targets().usableSlots(now, configuration));
		for (CustomerId customer : this.state.queue().customersByVirtualTime()) {
			if (this.state.queue().inFlightCount(customer) >= maxInFlight) {
				continue;
			}
			RequestRecord request = this.state.queue().peekFirst(customer);
			Set<TargetId> triedTargets = request.triedTargets();
			if (!triedTargets.isEmpty() && !this.state.targets().anyUntried(now, configuration, triedTargets)) {
				this.completion.refuse(request, RefusalReason.TARGETS_BUSY, "every available target was already tried");
				return true;
			}
			Optional<TargetRecord> target = this.state.targets().choose(now, configuration, triedTargets);
			if (target.isPresent()) {
				this.state.queue().removeAndCharge(request);
				send(now, request, target.get());
				return true;
			}
		}
		return false;
	}

	private void send(long now, RequestRecord request, TargetRecord target) {
		if (request.attemptCount() == 0) {
			this.state.retryBudget().deposit();
		}
		int attempt = request.openAttempt(now, target.id());
		target.addAttempt(new InFlightAttempt(request.id(), attempt, request.customer(), now,
				overdueAt(now, request.customer()), request.deadline() + this.state.policy().cancelGrace().toMillis()));
		this.state.explanationLog().add(request.id(), "attempt " + attempt + " is sent to target " + target.id());
		this.state.addCommand(new RequestCommand.Send(request.id(), attempt, target.id(), request.deadline()));
	}

	private long overdueAt(long now, CustomerId customer) {
		if (!this.state.queue().hasEstimate(customer)) {
			return Long.MAX_VALUE;
		}
		double allowedMillis = this.state.queue().estimatedMillis(customer)
				* this.state.policy().targets().stallFactor();
		return now + (long) allowedMillis;
	}

	private void refuseAfterNoTargetTimeout(long now) {
		if (this.noTargetSince == Long.MAX_VALUE) {
			this.noTargetSince = now;
		}
		if (now < noTargetDeadline()) {
			return;
		}
		Refusal refusal = noTargetRefusal();
		for (RequestRecord request : this.state.queue().allWaiting()) {
			this.completion.refuse(request, refusal.reason(), refusal.detail());
		}
	}

	private Refusal noTargetRefusal() {
		Refusal refusal = this.state.targets().anyExcludedByZoneState(this.state.configuration())
				? Refusal.notRun(RefusalReason.ZONE_OUT, "every target is in a zone that is out of service")
				: Refusal.notRun(RefusalReason.NO_TARGET, "no target is connected to this entry");
		return refusal.withRetryAfter(this.state.policy().busyRetryAfter());
	}

}
