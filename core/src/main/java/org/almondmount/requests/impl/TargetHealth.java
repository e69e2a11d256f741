package org.almondmount.requests.impl;

import java.util.List;

import org.almondmount.model.TargetId;
import org.almondmount.requests.RequestCommand;
import org.almondmount.requests.RequestEvent.AnswerKind;

/**
 * Ejects targets that fail or stall and logs these decisions. Not thread-safe.
 * <p>
 * A target that fails fast appears idle and attracts all requests, so it is ejected for a
 * limited time. The cap on the share of ejected targets prevents a fault that all targets
 * have in common from ejecting all of them.
 */
final class TargetHealth {

	private final RouterState state;

	TargetHealth(RouterState state) {
		this.state = state;
	}

	void onAnswered(long now, TargetId id, AnswerKind kind) {
		TargetRecord target = this.state.targets().get(id);
		if (target == null) {
			return;
		}
		if (kind == AnswerKind.ERROR) {
			recordFailure(now, target, "several consecutive requests failed");
			return;
		}
		if (target.probing()) {
			logDecision(id, "answers again; its ejection is over");
		}
		target.recordSuccess();
	}

	// A target whose instance has stalled refuses immediately, so it always has a free
	// slot here and attracts more requests than any other. Each of them costs a retry,
	// which exhausts the retry budget for all customers. Since slots are lent, a healthy
	// target rarely refuses; consecutive refusals therefore count as errors.
	void onRefused(long now, TargetId id) {
		TargetRecord target = this.state.targets().get(id);
		if (target != null) {
			recordFailure(now, target, "it refused several consecutive requests");
		}
	}

	void onBroken(long now, TargetId id) {
		TargetRecord target = this.state.targets().get(id);
		if (target != null) {
			recordFailure(now, target, "its instance returned no complete answer to several consecutive requests");
		}
	}

	/**
	 * Ejects unresponsive targets and releases the slots of expired attempts.
	 * @param now the time
	 */
	void sweep(long now) {
		for (TargetRecord target : this.state.targets().all()) {
			target.clearConnectionFull();
			if (!target.isEjected(now) && target.isStalled(now)) {
				eject(now, target, "it does not answer");
			}
			for (InFlightAttempt attempt : List.copyOf(target.inFlightAttempts())) {
				if (attempt.expiresAt() <= now) {
					target.removeAttempt(attempt);
					this.state.queue().onAttemptEnded(attempt.customer(), now - attempt.sentAt(), false);
				}
			}
		}
	}

	private void recordFailure(long now, TargetRecord target, String reason) {
		if (target.recordFailure() && !target.isEjected(now)) {
			eject(now, target, reason);
		}
	}

	private void eject(long now, TargetRecord target, String reason) {
		if (this.state.targets().mayEject(now)) {
			long ejectionMillis = target.eject(now);
			logDecision(target.id(), "is ejected for " + ejectionMillis + " ms because " + reason);
			return;
		}
		if (target.shouldLogCapWarning(now)) {
			logDecision(target.id(), "is not ejected although " + reason
					+ ": the share of ejected targets is at its limit, so the fault probably affects all targets");
		}
	}

	private void logDecision(TargetId target, String message) {
		this.state.addCommand(new RequestCommand.LogDecision("target/" + target, "target " + target + " " + message));
	}

}
