package org.almondmount.gang;

import java.time.Duration;
import java.util.List;

import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Adjacency;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.model.ZoneState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MemberManagerTests {

	private static final Attempt FIRST = new Attempt(new JobId("job"), 1);

	private static final Attempt SECOND = new Attempt(new JobId("job"), 2);

	private static final JobSpec SPEC = spec(4, Duration.ofMinutes(1));

	private final MemberManager manager = MemberManagerFactory
		.create(MemberPolicy.DEFAULT.withCapacity(new Resources(8, 8, 8)));

	private List<MemberCommand> commands = List.of();

	private long now;

	@BeforeEach
	void receiveZoneState() {
		feed(new MemberEvent.ZoneStateReceived(ZoneState.IN, 1, 1_000_000));
	}

	@Test
	void aMemberIsHeldThenStartedThenRunning() {
		prepare(1, FIRST, 0);
		assertThat(this.commands).containsExactly(new MemberCommand.ReportPrepared(FIRST, 0));
		feed(new MemberEvent.StartReceived(1, FIRST, 0));
		assertThat(this.commands).containsExactly(new MemberCommand.StartTask(FIRST, 0, SPEC, false));
		feed(new MemberEvent.TaskRunning(FIRST, 0));
		assertThat(this.commands).containsExactly(new MemberCommand.ReportStarted(FIRST, 0));
		assertThat(this.manager.heldMembers()).containsExactly(new HeldMember(FIRST, 0, 2, true));
	}

	@Test
	void capacityIsNotHeldTwice() {
		prepare(1, FIRST, 0);
		prepare(1, FIRST, 1);
		prepare(1, new Attempt(new JobId("other"), 1), 0);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void expiredHoldFreesItsCapacity() {
		prepare(1, FIRST, 0);
		prepare(1, FIRST, 1);
		this.now += 5_000;
		prepare(1, new Attempt(new JobId("other"), 1), 0);
		assertThat(this.commands).contains(new MemberCommand.ReportPrepared(new Attempt(new JobId("other"), 1), 0));
		feed(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	// Guards against a gang that a former holder starts after its successor has taken
	// over. The former holder was paused past the end of its lease, and orders of its
	// successor were already received here.
	@Test
	void anOrderUnderALowerEpochIsIgnored() {
		prepare(1, FIRST, 0);
		prepare(2, new Attempt(new JobId("other"), 1), 0);
		feed(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	// Guards against a start after an abort: the holder aborts an attempt because another
	// member was refused, and the abort overtakes the prepare and start orders of this
	// member. The rest of the gang never runs.
	@Test
	void abortThatOvertakesItsPrepareTakesPrecedence() {
		feed(new MemberEvent.AbortReceived(1, FIRST, 0));
		prepare(1, FIRST, 0);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
		feed(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	@Test
	void abortOfOneMemberFencesTheWholeAttempt() {
		feed(new MemberEvent.AbortReceived(1, FIRST, 0));
		prepare(1, FIRST, 1);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void aStartWithoutAHoldIsRefused() {
		feed(new MemberEvent.StartReceived(1, FIRST, 0));
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void aLaterAttemptStopsTheEarlierOne() {
		runMember(FIRST, 0);
		prepare(1, SECOND, 0);
		assertThat(this.commands).contains(new MemberCommand.StopTask(FIRST, 0),
				new MemberCommand.ReportPrepared(SECOND, 0));
		prepare(1, FIRST, 1);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void nothingStartsInAZoneThatIsOut() {
		prepare(1, FIRST, 0);
		feed(new MemberEvent.ZoneStateReceived(ZoneState.OUT, 2, 1_000));
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
		feed(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	@Test
	void nothingStartsOnceTheZoneStateHasExpired() {
		feed(new MemberEvent.ZoneStateReceived(ZoneState.IN, 2, 500));
		prepare(1, FIRST, 0);
		this.now += 500;
		feed(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	// An entry with an older configuration still reports that the zone is in service. The
	// state of the latest revision applies.
	@Test
	void olderRevisionOfTheZoneStateIsIgnored() {
		feed(new MemberEvent.ZoneStateReceived(ZoneState.OUT, 5, 1_000));
		feed(new MemberEvent.ZoneStateReceived(ZoneState.IN, 4, 1_000));
		prepare(1, FIRST, 0);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void memberIsSuspendedWhenItsGangIsNotConfirmedWithinTheTimeout() {
		runMember(FIRST, 0);
		advance(3_000);
		feed(new MemberEvent.GangConfirmedRunning(FIRST, 0));
		advance(5_999);
		assertThat(this.manager.heldMembers()).hasSize(1);
		advance(1);
		assertThat(this.commands).contains(new MemberCommand.SuspendTask(FIRST, 0));
		feed(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUSPENDED));
		assertThat(this.commands).contains(new MemberCommand.ReportEnded(FIRST, 0, JobOutcome.SUSPENDED));
	}

	// Guards against a gang lease that is extended by a pause. The process was paused for
	// four seconds while a confirmation was buffered in its socket. The lease counts from
	// the heartbeat that was answered, not from the arrival of the answer.
	@Test
	void delayedConfirmationExtendsTheGangLeaseFromItsHeartbeat() {
		runMember(FIRST, 0);
		this.now += 4_000;
		feed(new MemberEvent.GangConfirmedRunning(FIRST, 3_900));
		advance(2_099);
		assertThat(this.commands).noneMatch(MemberCommand.SuspendTask.class::isInstance);
		advance(1);
		assertThat(this.commands).contains(new MemberCommand.SuspendTask(FIRST, 0));
	}

	@Test
	void aMemberThatCannotCheckpointIsStoppedInstead() {
		feed(new MemberEvent.PrepareReceived(1, FIRST, 0, spec(4, Duration.ZERO), false));
		feed(new MemberEvent.StartReceived(1, FIRST, 0));
		feed(new MemberEvent.TaskRunning(FIRST, 0));
		advance(6_000);
		assertThat(this.commands).contains(new MemberCommand.StopTask(FIRST, 0));
	}

	@Test
	void aTaskThatDoesNotCheckpointInTimeIsStopped() {
		runMember(FIRST, 0);
		feed(new MemberEvent.SuspendReceived(1, FIRST, 0));
		advance(10_000);
		assertThat(this.commands).contains(new MemberCommand.StopTask(FIRST, 0));
	}

	@Test
	void theWorkersLeaseIsRenewedOnlyWhileTheGangLeaseHolds() {
		runMember(FIRST, 0);
		advance(2_000);
		assertThat(this.commands).contains(new MemberCommand.RenewTask(FIRST, 0));
		this.now += 4_000;
		feed(new MemberEvent.Tick());
		feed(new MemberEvent.StopReceived(1, FIRST, 0));
		advance(2_000);
		assertThat(this.commands).noneMatch(MemberCommand.RenewTask.class::isInstance);
	}

	// Guards against a start after a long pause. The process is paused for a minute
	// between prepare and start, and the buffered start order is the first message that
	// it reads. By then the hold and the state of the zone have expired.
	@Test
	void deadlinesAreCheckedBeforeAnEventIsHandled() {
		prepare(1, FIRST, 0);
		this.now += 60_000;
		feed(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
		assertThat(this.commands)
			.contains(new MemberCommand.ReportRefused(FIRST, 0, "the hold expired before the member was started"));
	}

	@Test
	void endIsReportedUntilItIsRecorded() {
		runMember(FIRST, 0);
		feed(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUCCEEDED));
		MemberCommand report = new MemberCommand.ReportEnded(FIRST, 0, JobOutcome.SUCCEEDED);
		assertThat(this.commands).contains(report);
		advance(1_000);
		assertThat(this.commands).contains(report);
		feed(new MemberEvent.EndRecorded(FIRST));
		advance(1_000);
		assertThat(this.commands).isEmpty();
		feed(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUCCEEDED));
		assertThat(this.commands).isEmpty();
	}

	@Test
	void succeededMemberCountsAsRunningUntilItsEndIsRecorded() {
		runMember(FIRST, 0);
		feed(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUCCEEDED));
		assertThat(this.manager.heldMembers()).containsExactly(new HeldMember(FIRST, 0, 2, true));
		feed(new MemberEvent.EndRecorded(FIRST));
		assertThat(this.manager.heldMembers()).isEmpty();
	}

	// The process was restarted, and its worker runs a task of which it has no record.
	// The gang may be broken by now.
	@Test
	void unknownRunningTaskIsSuspendedAndBlocksOtherMembers() {
		feed(new MemberEvent.TaskRunning(FIRST, 0));
		assertThat(this.commands).contains(new MemberCommand.SuspendTask(FIRST, 0));
		prepare(1, new Attempt(new JobId("other"), 1), 0);
		assertThat(this.commands).anyMatch(MemberCommand.ReportRefused.class::isInstance)
			.noneMatch(MemberCommand.ReportPrepared.class::isInstance);
		feed(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUSPENDED));
		assertThat(this.commands).contains(new MemberCommand.ReportEnded(FIRST, 0, JobOutcome.SUSPENDED));
	}

	@Test
	void unconfirmedStopEndsAsUnknownAfterTwoLeases() {
		runMember(FIRST, 0);
		feed(new MemberEvent.StopReceived(1, FIRST, 0));
		advance(11_999);
		assertThat(this.commands).noneMatch(MemberCommand.ReportEnded.class::isInstance);
		advance(1);
		assertThat(this.commands).contains(new MemberCommand.ReportEnded(FIRST, 0, JobOutcome.UNKNOWN));
	}

	@Test
	void drainReleasesHoldsSuspendsTasksAndEndsWhenAllEndsAreRecorded() {
		runMember(FIRST, 0);
		prepare(1, new Attempt(new JobId("other"), 1), 0);
		feed(new MemberEvent.DrainRequested());
		assertThat(this.commands).hasSize(2).contains(new MemberCommand.SuspendTask(FIRST, 0));
		feed(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUSPENDED));
		assertThat(this.commands).noneMatch(MemberCommand.Drained.class::isInstance);
		feed(new MemberEvent.EndRecorded(FIRST));
		assertThat(this.commands).contains(new MemberCommand.Drained());
	}

	private void runMember(Attempt attempt, int member) {
		prepare(1, attempt, member);
		feed(new MemberEvent.StartReceived(1, attempt, member));
		feed(new MemberEvent.TaskRunning(attempt, member));
	}

	private void prepare(long epoch, Attempt attempt, int member) {
		feed(new MemberEvent.PrepareReceived(epoch, attempt, member, SPEC, false));
	}

	private void advance(long millis) {
		this.now += millis;
		feed(new MemberEvent.Tick());
	}

	private void feed(MemberEvent event) {
		this.commands = this.manager.handle(this.now, event);
	}

	private void assertNothingStarts() {
		assertThat(this.commands).noneMatch(MemberCommand.StartTask.class::isInstance);
	}

	private static JobSpec spec(int accelerators, Duration checkpointEvery) {
		return new JobSpec(new CustomerId("anna"), "weigh",
				new GangShape(2, new Resources(accelerators, 1, 1), Adjacency.RACK), Urgency.NORMAL, true,
				Duration.ofHours(1), checkpointEvery, "run");
	}

}
