package org.almondmount.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.almondmount.model.Configuration;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.plan.Plan;

/**
 * Turns confirmed plans into the next configuration, one at a time. Used only by the
 * holder of the scheduler's lease. Deterministic; not thread-safe.
 * <p>
 * If the answer to a commit is lost, it is unknown whether a zone is out of service. A
 * task started meanwhile could run in a zone that was reported to operators as out of
 * service, so starts are held from before the commit is sent until its outcome is known.
 */
public final class ConfirmationManager {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

	private final long answerTimeoutMillis;

	private PendingChange pending;

	/**
	 * Creates a manager without a pending change.
	 * @param answerTimeoutMillis time after which the operator is informed that the
	 * outcome is not known yet
	 */
	public ConfirmationManager(long answerTimeoutMillis) {
		this.answerTimeoutMillis = answerTimeoutMillis;
	}

	/**
	 * Handles an event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event what happened
	 * @return the commands to execute, in order
	 */
	public List<ConfirmationCommand> handle(long nowMillis, ConfirmationEvent event) {
		List<ConfirmationCommand> commands = new ArrayList<>();
		if (event instanceof ConfirmationEvent.Confirmed confirmed) {
			onConfirmed(nowMillis, confirmed, commands);
		}
		else if (event instanceof ConfirmationEvent.CommitEnded ended) {
			onCommitEnded(ended, commands);
		}
		else if (event instanceof ConfirmationEvent.SteppedDown) {
			onSteppedDown(commands);
		}
		else {
			answerIfOverdue(nowMillis, commands);
		}
		return commands;
	}

	/**
	 * Whether starts are held because the outcome of a change is unknown.
	 * @return true from before the commit is sent until its outcome is known
	 */
	public boolean areStartsHeld() {
		return this.pending != null;
	}

	private void onConfirmed(long now, ConfirmationEvent.Confirmed event, List<ConfirmationCommand> commands) {
		Plan plan = event.plan();
		if (this.pending != null) {
			commands.add(refuse(event.request(),
					Refusal
						.notRun(RefusalReason.STORE_UNKNOWN,
								"the change by plan " + this.pending.plan + " is still pending")
						.withRetryAfter(RETRY_AFTER)));
			return;
		}
		if (plan.effects().refusal().isPresent()) {
			commands.add(refuse(event.request(), plan.effects().refusal().get()));
			return;
		}
		if (plan.againstRevision() != event.current().revision()) {
			commands.add(refuse(event.request(), superseded(plan.againstRevision(), event.current().revision())));
			return;
		}
		Configuration next = plan.intent().applyTo(event.current());
		this.pending = new PendingChange(event.request(), plan.id(), next, now + this.answerTimeoutMillis);
		commands.add(new ConfirmationCommand.HoldStarts());
		commands.add(new ConfirmationCommand.Commit(plan, next));
	}

	private void onCommitEnded(ConfirmationEvent.CommitEnded ended, List<ConfirmationCommand> commands) {
		if (this.pending == null || this.pending.next.revision() != ended.revision()) {
			return;
		}
		PendingChange change = this.pending;
		this.pending = null;
		if (ended.outcome() == ConfirmationEvent.CommitOutcome.COMMITTED) {
			commands.add(new ConfirmationCommand.Accepted(change.next));
		}
		commands.add(new ConfirmationCommand.AllowStarts());
		if (change.answered) {
			return;
		}
		commands.add(answer(change, ended.outcome()));
	}

	private static ConfirmationCommand answer(PendingChange change, ConfirmationEvent.CommitOutcome outcome) {
		return switch (outcome) {
			case COMMITTED -> new ConfirmationCommand.AnswerAccepted(change.request, change.next.revision());
			case SUPERSEDED ->
				refuse(change.request, Refusal.notRun(RefusalReason.SUPERSEDED, "another change was committed first"));
			case NOT_COMMITTED ->
				refuse(change.request, Refusal.notRun(RefusalReason.STORE_AWAY, "the table did not accept the change")
					.withRetryAfter(RETRY_AFTER));
		};
	}

	private void onSteppedDown(List<ConfirmationCommand> commands) {
		if (this.pending == null) {
			return;
		}
		if (!this.pending.answered) {
			commands.add(refuseUnknownOutcome(this.pending));
		}
		this.pending = null;
	}

	private void answerIfOverdue(long now, List<ConfirmationCommand> commands) {
		if (this.pending == null || this.pending.answered || now < this.pending.answerDeadlineMillis) {
			return;
		}
		this.pending.answered = true;
		commands.add(refuseUnknownOutcome(this.pending));
	}

	private static ConfirmationCommand refuseUnknownOutcome(PendingChange change) {
		return refuse(change.request,
				Refusal
					.mayHaveRun(RefusalReason.STORE_UNKNOWN,
							"the table has not reported whether revision " + change.next.revision() + " took effect")
					.withRetryAfter(RETRY_AFTER));
	}

	private static Refusal superseded(long planned, long current) {
		return Refusal.notRun(RefusalReason.SUPERSEDED,
				"planned against revision " + planned + " but revision " + current + " is in force");
	}

	private static ConfirmationCommand refuse(long request, Refusal refusal) {
		return new ConfirmationCommand.AnswerRefused(request, refusal);
	}

	private static final class PendingChange {

		private final long request;

		private final String plan;

		private final Configuration next;

		private final long answerDeadlineMillis;

		private boolean answered;

		PendingChange(long request, String plan, Configuration next, long answerDeadlineMillis) {
			this.request = request;
			this.plan = plan;
			this.next = next;
			this.answerDeadlineMillis = answerDeadlineMillis;
		}

	}

}
