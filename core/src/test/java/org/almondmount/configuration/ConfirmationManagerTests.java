package org.almondmount.configuration;

import java.util.List;
import java.util.Optional;

import org.almondmount.model.Configuration;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.RunState;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;
import org.almondmount.plan.Intent;
import org.almondmount.plan.Plan;
import org.almondmount.plan.PlanEffects;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfirmationManagerTests {

	private static final Configuration CURRENT = Configuration.EMPTY.withRevision(4);

	private final ConfirmationManager manager = new ConfirmationManager(10_000);

	@Test
	void startsAreHeldFromBeforeTheCommitUntilItsOutcomeIsKnown() {
		List<ConfirmationCommand> commands = confirm(0, 1, 4);
		assertThat(commands.get(0)).isInstanceOf(ConfirmationCommand.HoldStarts.class);
		assertThat(commands.get(1)).isInstanceOf(ConfirmationCommand.Commit.class);
		assertThat(this.manager.areStartsHeld()).isTrue();
		List<ConfirmationCommand> after = this.manager.handle(20,
				new ConfirmationEvent.CommitEnded(5, ConfirmationEvent.CommitOutcome.COMMITTED));
		assertThat(after.get(0)).isInstanceOf(ConfirmationCommand.Accepted.class);
		assertThat(after.get(1)).isInstanceOf(ConfirmationCommand.AllowStarts.class);
		assertThat(after.get(2)).isEqualTo(new ConfirmationCommand.AnswerAccepted(1, 5));
	}

	@Test
	void aPlanAgainstAnotherRevisionIsSuperseded() {
		assertThat(refusal(confirm(0, 1, 3))).isEqualTo(RefusalReason.SUPERSEDED);
		assertThat(this.manager.areStartsHeld()).isFalse();
	}

	// Guards against starting tasks in a zone that may be out of service. The table does
	// not report the outcome of the commit; the operator is informed that it is unknown,
	// and starts stay held.
	@Test
	void anUnknownCommitOutcomeIsReportedAndStartsStayHeld() {
		confirm(0, 1, 4);
		assertThat(this.manager.handle(9_999, new ConfirmationEvent.Tick())).isEmpty();
		ConfirmationCommand.AnswerRefused late = (ConfirmationCommand.AnswerRefused) this.manager
			.handle(10_000, new ConfirmationEvent.Tick())
			.get(0);
		assertThat(late.refusal().reason()).isEqualTo(RefusalReason.STORE_UNKNOWN);
		assertThat(late.refusal().runState()).isEqualTo(RunState.MAY_HAVE_RUN);
		assertThat(this.manager.areStartsHeld()).isTrue();
		assertThat(this.manager.handle(20_000,
				new ConfirmationEvent.CommitEnded(5, ConfirmationEvent.CommitOutcome.COMMITTED)))
			.hasSize(2);
		assertThat(this.manager.areStartsHeld()).isFalse();
	}

	// Guards against applying a plan to another configuration than it was computed
	// against, when two operators confirm at the same time.
	@Test
	void aConfirmationIsRefusedWhileAnotherIsPending() {
		confirm(0, 1, 4);
		assertThat(refusal(confirm(5, 2, 4))).isEqualTo(RefusalReason.STORE_UNKNOWN);
	}

	@Test
	void aCommitAfterAnotherChangeIsRefusedAsSuperseded() {
		confirm(0, 1, 4);
		List<ConfirmationCommand> after = this.manager.handle(9,
				new ConfirmationEvent.CommitEnded(5, ConfirmationEvent.CommitOutcome.SUPERSEDED));
		assertThat(refusal(after)).isEqualTo(RefusalReason.SUPERSEDED);
	}

	private List<ConfirmationCommand> confirm(long now, long request, long against) {
		Intent out = new Intent.SetZone(new ZoneId("lulea-a"), ZoneState.OUT);
		PlanEffects none = new PlanEffects(Optional.empty(), List.of(), List.of(), List.of(), List.of());
		return this.manager.handle(now,
				new ConfirmationEvent.Confirmed(request, new Plan("p1", out, against, none), CURRENT));
	}

	private static RefusalReason refusal(List<ConfirmationCommand> commands) {
		for (ConfirmationCommand command : commands) {
			if (command instanceof ConfirmationCommand.AnswerRefused refused) {
				return refused.refusal().reason();
			}
		}
		return null;
	}

}
