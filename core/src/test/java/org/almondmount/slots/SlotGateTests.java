package org.almondmount.slots;

import java.time.Duration;
import java.util.List;

import org.almondmount.model.EntryId;
import org.almondmount.model.RequestId;
import org.almondmount.model.ZoneState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SlotGateTests {

	private static final EntryId A = new EntryId("a");

	private static final EntryId B = new EntryId("b");

	private static final RequestId ONE = new RequestId("one");

	private static final RequestId TWO = new RequestId("two");

	private static final RequestId THREE = new RequestId("three");

	private final SlotGate gate = SlotGateFactory.create(SlotPolicy.DEFAULT.withSlots(2));

	@Test
	void theFirstEntryIsLentAllSlots() {
		assertThat(this.gate.handle(0, new SlotEvent.EntryJoined(A))).containsExactly(new SlotCommand.LendSlots(A, 2));
	}

	// Guards against two entries using the same slot. A is lent both slots, then B joins.
	// If a slot were lent to B immediately, A could still use it too, so B gets none
	// until A has confirmed the smaller loan.
	@Test
	void aSlotIsLentAgainOnlyAfterItsBorrowerConfirmedTheSmallerLoan() {
		this.gate.handle(0, new SlotEvent.EntryJoined(A));
		assertThat(this.gate.handle(1, new SlotEvent.EntryJoined(B))).containsExactly(new SlotCommand.LendSlots(A, 1),
				new SlotCommand.LendSlots(B, 0));
		assertThat(this.gate.handle(2, new SlotEvent.Tick())).isEmpty();
		assertThat(this.gate.handle(3, new SlotEvent.LoanConfirmed(A, 2)))
			.containsExactly(new SlotCommand.LendSlots(B, 1));
	}

	@Test
	void theRemainderSlotGoesToADifferentEntryForEachRotation() {
		assertThat(loansOfTwoEntries(0)).isNotEqualTo(loansOfTwoEntries(1));
	}

	@Test
	void aSlotStillInUseIsNotLentAgainAfterConfirmation() {
		this.gate.handle(0, new SlotEvent.EntryJoined(A));
		this.gate.handle(1, call(A, ONE));
		this.gate.handle(1, call(A, TWO));
		this.gate.handle(2, new SlotEvent.EntryJoined(B));
		assertThat(this.gate.handle(3, new SlotEvent.LoanConfirmed(A, 2))).isEmpty();
		assertThat(this.gate.handle(4, new SlotEvent.CallEnded(ONE, 1)))
			.containsExactly(new SlotCommand.Answer(A, ONE, 1), new SlotCommand.LendSlots(B, 1));
	}

	@Test
	void theSlotsOfALostEntryAreLentToTheOthers() {
		this.gate.handle(0, new SlotEvent.EntryJoined(A));
		this.gate.handle(1, new SlotEvent.EntryJoined(B));
		this.gate.handle(2, new SlotEvent.LoanConfirmed(A, 2));
		assertThat(this.gate.handle(3, new SlotEvent.EntryLost(B))).containsExactly(new SlotCommand.LendSlots(A, 2));
	}

	@Test
	void aCallBeyondTheSlotsIsRefusedAsNotStarted() {
		this.gate.handle(0, call(A, ONE));
		this.gate.handle(0, call(A, TWO));
		assertThat(this.gate.handle(0, call(B, THREE))).singleElement()
			.isInstanceOf(SlotCommand.RefuseNotStarted.class);
		assertThat(this.gate.inUse()).isEqualTo(2);
	}

	// Guards against running a call that was reported as not run. The target refused the
	// call for lack of slots, and a copy delayed by the network arrives when a slot is
	// free.
	@Test
	void aCopyOfARefusedCallIsRefusedEvenIfASlotIsFree() {
		this.gate.handle(0, call(A, ONE));
		this.gate.handle(0, call(A, TWO));
		this.gate.handle(0, call(A, THREE));
		this.gate.handle(5, new SlotEvent.CallEnded(ONE, 1));
		assertThat(this.gate.handle(6, call(A, THREE))).singleElement()
			.isInstanceOf(SlotCommand.RefuseNotStarted.class);
	}

	// Guards against running a call twice. A copy arrives while the call runs or after
	// its end. If it were reported as not started, the entry would send the call to
	// another target.
	@Test
	void aCopyOfACallThatRanIsDroppedWithoutAnAnswer() {
		this.gate.handle(0, call(A, ONE));
		assertThat(this.gate.handle(1, call(A, ONE))).isEmpty();
		this.gate.handle(2, new SlotEvent.CallEnded(ONE, 1));
		assertThat(this.gate.handle(3, call(A, ONE))).isEmpty();
		assertThat(this.gate.inUse()).isZero();
	}

	@Test
	void aCallCancelledBeforeItArrivesIsNotStarted() {
		this.gate.handle(0, new SlotEvent.CallCancelled(A, ONE, 1));
		assertThat(this.gate.handle(1, call(A, ONE))).singleElement().isInstanceOf(SlotCommand.RefuseNotStarted.class);
	}

	@Test
	void aCancelledCallThatRunsKeepsItsSlotUntilItEnds() {
		this.gate.handle(0, call(A, ONE));
		this.gate.handle(1, new SlotEvent.CallCancelled(A, ONE, 1));
		assertThat(this.gate.inUse()).isOne();
		assertThat(this.gate.handle(2, call(A, ONE))).isEmpty();
	}

	@Test
	void aCallWhoseDeadlineHasPassedIsNotStarted() {
		assertThat(this.gate.handle(10, new SlotEvent.CallReceived(A, ONE, 1, 10))).singleElement()
			.isInstanceOf(SlotCommand.RefuseNotStarted.class);
	}

	@Test
	void noCallIsStartedInAZoneOutOfService() {
		this.gate.handle(0, new SlotEvent.ZoneStateReceived(ZoneState.OUT));
		assertThat(this.gate.handle(1, call(A, ONE))).singleElement().isInstanceOf(SlotCommand.RefuseNotStarted.class);
	}

	@Test
	void aCallThatNeverReachedTheInstanceIsReportedAsNotStarted() {
		this.gate.handle(0, call(A, ONE));
		assertThat(this.gate.handle(1, new SlotEvent.CallBroken(ONE, 1, false, "refused")))
			.containsExactly(new SlotCommand.RefuseNotStarted(A, ONE, 1, "refused"));
		assertThat(this.gate.handle(2, call(A, ONE))).singleElement().isInstanceOf(SlotCommand.RefuseNotStarted.class);
	}

	@Test
	void aFullAttemptHistoryStartsNothingAndDoesNotReportNotStarted() {
		SlotGate small = SlotGateFactory.create(SlotPolicy.DEFAULT.withRemember(Duration.ofSeconds(30), 1));
		small.handle(0, new SlotEvent.CallCancelled(A, ONE, 1));
		assertThat(small.handle(1, call(A, TWO))).singleElement().isInstanceOf(SlotCommand.AnswerBroken.class);
		assertThat(small.handle(30_000, call(A, THREE))).singleElement().isInstanceOf(SlotCommand.Run.class);
	}

	@Test
	void drainingIsAnnouncedRefusesNewCallsAndEndsWithTheLastCall() {
		this.gate.handle(0, call(A, ONE));
		assertThat(this.gate.handle(1, new SlotEvent.Draining())).containsExactly(new SlotCommand.AnnounceDraining());
		assertThat(this.gate.handle(2, call(A, TWO))).singleElement().isInstanceOf(SlotCommand.RefuseNotStarted.class);
		assertThat(this.gate.handle(3, new SlotEvent.CallEnded(ONE, 1)))
			.isEqualTo(List.of(new SlotCommand.Answer(A, ONE, 1), new SlotCommand.Drained()));
	}

	private static List<SlotCommand> loansOfTwoEntries(int rotation) {
		SlotGate rotated = SlotGateFactory.create(SlotPolicy.DEFAULT.withSlots(1).withRotation(rotation));
		rotated.handle(0, new SlotEvent.EntryJoined(A));
		rotated.handle(0, new SlotEvent.EntryJoined(B));
		return rotated.handle(1, new SlotEvent.LoanConfirmed(A, 2));
	}

	private static SlotEvent call(EntryId entry, RequestId request) {
		return new SlotEvent.CallReceived(entry, request, 1, 60_000);
	}

}
