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
 * Sends waiting requests to targets. Not thread-safe.
 */
final class Dispatcher {

	private final RouterState state;

	private final Admission admission;

	private final Endings endings;

	private long noTargetSince = Long.MAX_VALUE;

	private boolean budgetSpent;

	Dispatcher(RouterState state, Admission admission, Endings endings) {
		this.state = state;
		this.admission = admission;
		this.endings = endings;
	}

	/**
	 * When waiting requests have to be refused because no target may take them.
	 * @return a time, or {@code Long.MAX_VALUE}
	 */
	long noTargetUntil() {
		if (this.noTargetSince == Long.MAX_VALUE) {
			return Long.MAX_VALUE;
		}
		return this.noTargetSince + this.state.policy().noTargetWait().toMillis();
	}

	// Sends what can be sent.
	void pump(long now) {
		Configuration configuration = this.state.configuration();
		if (configuration == null || this.state.queue().size() == 0) {
			return;
		}
		if (!this.state.targets().anyMayServe(configuration)) {
			waitForTarget(now);
			return;
		}
		this.noTargetSince = Long.MAX_VALUE;
		while (this.state.targets().anyRoom(now, configuration) && sendNext(now, configuration)) {
			continue;
		}
	}

	/**
	 * Why a request that arrives now would wait in vain.
	 * @param now the time
	 * @return a refusal if no target has been there for the whole wait
	 */
	Optional<Refusal> noTarget(long now) {
		if (this.state.targets().anyMayServe(this.state.configuration())) {
			this.noTargetSince = Long.MAX_VALUE;
		}
		return (now >= noTargetUntil()) ? Optional.of(noTarget()) : Optional.empty();
	}

	/**
	 * Puts a request back to be tried elsewhere, if it may be.
	 * @param now the time
	 * @param request the request
	 * @param reason why
	 * @return false when attempts, time, targets or the budget are used up
	 */
	boolean retry(long now, RequestRecord request, RetryReason reason) {
		if (!mayRetry(now, request)) {
			return false;
		}
		this.state.command(new RequestCommand.CountRetry(reason));
		this.state.journal().write(request.id(), "it is tried elsewhere: " + reason.word());
		request.enter(RequestRecord.Phase.QUEUED);
		this.state.queue().addFirst(request);
		return true;
	}

	/**
	 * Whether the last retry was denied for the budget alone.
	 * @return true if it was
	 */
	boolean budgetSpent() {
		return this.budgetSpent;
	}

	/**
	 * Makes a second attempt at slow idempotent requests, if that is on.
	 * @param now the time
	 */
	void hedge(long now) {
		if (this.state.policy().hedgeAfter().isEmpty()) {
			return;
		}
		long after = this.state.policy().hedgeAfter().get().toMillis();
		for (RequestRecord request : List.copyOf(this.state.requests().values())) {
			boolean slow = request.idempotent() && request.open().size() == 1 && now - request.sentAt() >= after;
			if (slow && request.attempts() < this.state.policy().maxAttempts()) {
				hedge(now, request);
			}
		}
	}

	private void hedge(long now, RequestRecord request) {
		Optional<TargetRecord> target = this.state.targets().choose(now, this.state.configuration(), request.tried());
		if (target.isEmpty() || !this.state.budget().spend()) {
			return;
		}
		this.state.command(new RequestCommand.CountRetry(RetryReason.SLOW));
		this.state.queue().charge(request.customer());
		send(now, request, target.get());
	}

	private boolean mayRetry(long now, RequestRecord request) {
		this.budgetSpent = false;
		boolean over = request.callerGone() || request.deadline() <= now
				|| request.attempts() >= this.state.policy().maxAttempts();
		if (over || !this.state.targets().anyUntried(now, this.state.configuration(), request.tried())) {
			return false;
		}
		this.budgetSpent = !this.state.budget().spend();
		return !this.budgetSpent;
	}

	private boolean sendNext(long now, Configuration configuration) {
		int most = this.admission.mostInFlight(configuration, this.state.targets().slots(now, configuration));
		for (CustomerId customer : this.state.queue().turn()) {
			if (this.state.queue().inFlight(customer) >= most) {
				continue;
			}
			RequestRecord request = this.state.queue().first(customer);
			Set<TargetId> tried = request.tried();
			if (!tried.isEmpty() && !this.state.targets().anyUntried(now, configuration, tried)) {
				this.endings.refuse(request, RefusalReason.TARGETS_BUSY, "no target is left that was not tried");
				return true;
			}
			Optional<TargetRecord> target = this.state.targets().choose(now, configuration, tried);
			if (target.isPresent()) {
				this.state.queue().dispatch(request);
				send(now, request, target.get());
				return true;
			}
		}
		return false;
	}

	private void send(long now, RequestRecord request, TargetRecord target) {
		if (request.attempts() == 0) {
			this.state.budget().earn();
		}
		int attempt = request.openAttempt(now, target.id());
		target.take(new Flight(request.id(), attempt, request.customer(), now, overdueAt(now, request.customer()),
				request.deadline() + this.state.policy().cancelGrace().toMillis()));
		this.state.journal().write(request.id(), "attempt " + attempt + " is sent to target " + target.id());
		this.state.command(new RequestCommand.Send(request.id(), attempt, target.id(), request.deadline()));
	}

	private long overdueAt(long now, CustomerId customer) {
		if (!this.state.queue().hasMeasured(customer)) {
			return Long.MAX_VALUE;
		}
		double patience = this.state.queue().usualMillis(customer) * this.state.policy().targets().stallFactor();
		return now + (long) patience;
	}

	private void waitForTarget(long now) {
		if (this.noTargetSince == Long.MAX_VALUE) {
			this.noTargetSince = now;
		}
		if (now < noTargetUntil()) {
			return;
		}
		Refusal refusal = noTarget();
		for (RequestRecord request : this.state.queue().all()) {
			this.endings.refuse(request, refusal.reason(), refusal.detail());
		}
	}

	private Refusal noTarget() {
		Refusal refusal = this.state.targets().anyInZoneOut(this.state.configuration())
				? Refusal.notRun(RefusalReason.ZONE_OUT, "every target stands in a zone that is out of service")
				: Refusal.notRun(RefusalReason.NO_TARGET, "no target is connected to this entry");
		return refusal.withRetryAfter(this.state.policy().busyRetryAfter());
	}

}
