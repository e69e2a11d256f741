package org.almondmount.requests.impl;

import java.util.List;

import org.almondmount.model.TargetId;
import org.almondmount.requests.RequestCommand;
import org.almondmount.requests.RequestEvent.AnswerKind;

/**
 * Ejects targets that err or stall, and says so. Not thread-safe.
 * <p>
 * A target that fails fast looks idle and draws all requests to it. Taking it out for a
 * while ends that; the cap on the share that is out at the same time keeps a fault that
 * is common to all from taking all out.
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
			recordFailure(now, target, "it failed several requests in a row");
			return;
		}
		if (target.probing()) {
			logDecision(id, "answers again and is back in use");
		}
		target.recordSuccess();
	}

	// A target whose instance stands still refuses at once, so that it always has a free
	// slot here and draws more requests than any other: each of them costs a retry, and
	// the retry budget runs out for everybody. Slots are lent, so that a healthy target
	// hardly ever refuses; several refusals in a row are as good a sign as errors.
	void onRefused(long now, TargetId id) {
		TargetRecord target = this.state.targets().get(id);
		if (target != null) {
			recordFailure(now, target, "it refused several requests in a row");
		}
	}

	void onBroken(long now, TargetId id) {
		TargetRecord target = this.state.targets().get(id);
		if (target != null) {
			recordFailure(now, target, "its instance broke off several requests in a row");
		}
	}

	/**
	 * Looks for targets that answer nothing, and frees slots of attempts about which
	 * nothing will be heard.
	 * @param now the time
	 */
	void sweep(long now) {
		for (TargetRecord target : this.state.targets().all()) {
			target.clearConnectionFull();
			if (!target.isEjected(now) && target.isStalled(now)) {
				eject(now, target, "it answers nothing");
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
			logDecision(target.id(), "is kept in use although " + reason
					+ ": the share of ejected targets is at its bound, so the fault is probably common to all");
		}
	}

	private void logDecision(TargetId target, String message) {
		this.state.addCommand(new RequestCommand.LogDecision("target/" + target, "target " + target + " " + message));
	}

}
