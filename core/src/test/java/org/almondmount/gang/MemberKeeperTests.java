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

class MemberKeeperTests {

	private static final Attempt FIRST = new Attempt(new JobId("job"), 1);

	private static final Attempt SECOND = new Attempt(new JobId("job"), 2);

	private static final JobSpec SPEC = spec(4, Duration.ofMinutes(1));

	private final MemberKeeper keeper = MemberKeeperFactory
		.create(MemberPolicy.DEFAULT.withCapacity(new Resources(8, 8, 8)));

	private List<MemberCommand> commands = List.of();

	private long now;

	@BeforeEach
	void hearZone() {
		on(new MemberEvent.ZoneHeard(ZoneState.IN, 1, 1_000_000));
	}

	@Test
	void aMemberIsHeldThenStartedThenRunning() {
		prepare(1, FIRST, 0);
		assertThat(this.commands).containsExactly(new MemberCommand.ReportPrepared(FIRST, 0));
		on(new MemberEvent.StartReceived(1, FIRST, 0));
		assertThat(this.commands).containsExactly(new MemberCommand.StartTask(FIRST, 0, SPEC, false));
		on(new MemberEvent.TaskRunning(FIRST, 0));
		assertThat(this.commands).containsExactly(new MemberCommand.ReportStarted(FIRST, 0));
		assertThat(this.keeper.held()).containsExactly(new HeldMember(FIRST, 0, 2, true));
	}

	@Test
	void roomIsNotHeldTwice() {
		prepare(1, FIRST, 0);
		prepare(1, FIRST, 1);
		prepare(1, new Attempt(new JobId("other"), 1), 0);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void roomThatIsNotUsedInTimeIsFree() {
		prepare(1, FIRST, 0);
		prepare(1, FIRST, 1);
		this.now += 5_000;
		prepare(1, new Attempt(new JobId("other"), 1), 0);
		assertThat(this.commands).contains(new MemberCommand.ReportPrepared(new Attempt(new JobId("other"), 1), 0));
		on(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	// Holder: was paused past its lease, and its successor's orders have been seen here.
	// What the old one still sends would start a gang that the successor knows nothing
	// of.
	@Test
	void anOrderUnderALowerEpochIsIgnored() {
		prepare(1, FIRST, 0);
		prepare(2, new Attempt(new JobId("other"), 1), 0);
		on(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	// Holder: aborts an attempt because another member was refused. The abort overtakes
	// the prepare and start of this member. Nobody else of the gang will ever run.
	@Test
	void anAbortThatOvertakesItsPrepareWins() {
		on(new MemberEvent.AbortReceived(1, FIRST, 0));
		prepare(1, FIRST, 0);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
		on(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	@Test
	void anAbortOfOneMemberGivesUpTheWholeAttemptHere() {
		on(new MemberEvent.AbortReceived(1, FIRST, 0));
		prepare(1, FIRST, 1);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void aStartWithoutAHoldIsRefused() {
		on(new MemberEvent.StartReceived(1, FIRST, 0));
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void aLaterAttemptStopsTheEarlierOne() {
		run(FIRST, 0);
		prepare(1, SECOND, 0);
		assertThat(this.commands).contains(new MemberCommand.StopTask(FIRST, 0),
				new MemberCommand.ReportPrepared(SECOND, 0));
		prepare(1, FIRST, 1);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void nothingStartsInAZoneThatIsOut() {
		prepare(1, FIRST, 0);
		on(new MemberEvent.ZoneHeard(ZoneState.OUT, 2, 1_000));
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
		on(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	@Test
	void nothingStartsOnceTheZonesStateIsTooOld() {
		on(new MemberEvent.ZoneHeard(ZoneState.IN, 2, 500));
		prepare(1, FIRST, 0);
		this.now += 500;
		on(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
	}

	// Entries: one is behind and still says that the zone is in. What a later revision
	// said holds.
	@Test
	void anOlderRevisionSaysNothingAboutTheZone() {
		on(new MemberEvent.ZoneHeard(ZoneState.OUT, 5, 1_000));
		on(new MemberEvent.ZoneHeard(ZoneState.IN, 4, 1_000));
		prepare(1, FIRST, 0);
		assertThat(this.commands).singleElement().isInstanceOf(MemberCommand.ReportRefused.class);
	}

	@Test
	void aMemberThatNobodyCallsWholeIsSuspendedAfterTheGangTimeout() {
		run(FIRST, 0);
		pass(3_000);
		on(new MemberEvent.WholeHeard(FIRST, 0));
		pass(5_999);
		assertThat(this.keeper.held()).hasSize(1);
		pass(1);
		assertThat(this.commands).contains(new MemberCommand.SuspendTask(FIRST, 0));
		on(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUSPENDED));
		assertThat(this.commands).contains(new MemberCommand.ReportEnded(FIRST, 0, JobOutcome.SUSPENDED));
	}

	// This process: was frozen for four seconds with an answer in its socket. The gang
	// was whole when that was sent, and counting the lease from its arrival would add the
	// freeze to the bound.
	@Test
	void anAnswerThatWasHeldBackExtendsTheGangLeaseOnlyFromItsQuestion() {
		run(FIRST, 0);
		this.now += 4_000;
		on(new MemberEvent.WholeHeard(FIRST, 3_900));
		pass(2_099);
		assertThat(this.commands).noneMatch(MemberCommand.SuspendTask.class::isInstance);
		pass(1);
		assertThat(this.commands).contains(new MemberCommand.SuspendTask(FIRST, 0));
	}

	@Test
	void aMemberThatCannotCheckpointIsStoppedInstead() {
		on(new MemberEvent.PrepareReceived(1, FIRST, 0, spec(4, Duration.ZERO), false));
		on(new MemberEvent.StartReceived(1, FIRST, 0));
		on(new MemberEvent.TaskRunning(FIRST, 0));
		pass(6_000);
		assertThat(this.commands).contains(new MemberCommand.StopTask(FIRST, 0));
	}

	@Test
	void aTaskThatDoesNotCheckpointInTimeIsStopped() {
		run(FIRST, 0);
		on(new MemberEvent.SuspendReceived(1, FIRST, 0));
		pass(10_000);
		assertThat(this.commands).contains(new MemberCommand.StopTask(FIRST, 0));
	}

	@Test
	void theWorkersLeaseIsRenewedOnlyWhileTheGangLeaseHolds() {
		run(FIRST, 0);
		pass(2_000);
		assertThat(this.commands).contains(new MemberCommand.RenewTask(FIRST, 0));
		this.now += 4_000;
		on(new MemberEvent.TimePassed());
		on(new MemberEvent.StopReceived(1, FIRST, 0));
		pass(2_000);
		assertThat(this.commands).noneMatch(MemberCommand.RenewTask.class::isInstance);
	}

	// This process: frozen for a minute between prepare and start. The start was waiting
	// in its socket and is the first thing that it reads. The hold, the epoch's time and
	// the view of the zone are all long over.
	@Test
	void aFrozenProcessFindsOutBeforeItActs() {
		prepare(1, FIRST, 0);
		this.now += 60_000;
		on(new MemberEvent.StartReceived(1, FIRST, 0));
		assertNothingStarts();
		assertThat(this.commands)
			.contains(new MemberCommand.ReportRefused(FIRST, 0, "the time for which it was held ran out"));
	}

	@Test
	void anEndIsReportedUntilAnEntryForgetsTheAttempt() {
		run(FIRST, 0);
		on(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUCCEEDED));
		MemberCommand report = new MemberCommand.ReportEnded(FIRST, 0, JobOutcome.SUCCEEDED);
		assertThat(this.commands).contains(report);
		pass(1_000);
		assertThat(this.commands).contains(report);
		on(new MemberEvent.Forgotten(FIRST));
		pass(1_000);
		assertThat(this.commands).isEmpty();
		on(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUCCEEDED));
		assertThat(this.commands).isEmpty();
	}

	@Test
	void aMemberThatSucceededStillCountsForItsGangUntilItsEndIsOnRecord() {
		run(FIRST, 0);
		on(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUCCEEDED));
		assertThat(this.keeper.held()).containsExactly(new HeldMember(FIRST, 0, 2, true));
		on(new MemberEvent.Forgotten(FIRST));
		assertThat(this.keeper.held()).isEmpty();
	}

	// This process: was replaced, and its worker runs a task that it knows nothing of.
	// The gang may be broken by now.
	@Test
	void aTaskThatIsFoundRunningIsSuspendedAndNothingElseStartsBesideIt() {
		on(new MemberEvent.TaskRunning(FIRST, 0));
		assertThat(this.commands).contains(new MemberCommand.SuspendTask(FIRST, 0));
		prepare(1, new Attempt(new JobId("other"), 1), 0);
		assertThat(this.commands).anyMatch(MemberCommand.ReportRefused.class::isInstance)
			.noneMatch(MemberCommand.ReportPrepared.class::isInstance);
		on(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUSPENDED));
		assertThat(this.commands).contains(new MemberCommand.ReportEnded(FIRST, 0, JobOutcome.SUSPENDED));
	}

	@Test
	void aTaskThatTheWorkerNeverConfirmsToHaveStoppedIsGivenUpAfterTwoLeases() {
		run(FIRST, 0);
		on(new MemberEvent.StopReceived(1, FIRST, 0));
		pass(11_999);
		assertThat(this.commands).noneMatch(MemberCommand.ReportEnded.class::isInstance);
		pass(1);
		assertThat(this.commands).contains(new MemberCommand.ReportEnded(FIRST, 0, JobOutcome.UNKNOWN));
	}

	@Test
	void drainingReleasesHoldsSuspendsTasksAndEndsWhenAllIsReported() {
		run(FIRST, 0);
		prepare(1, new Attempt(new JobId("other"), 1), 0);
		on(new MemberEvent.Draining());
		assertThat(this.commands).hasSize(2).contains(new MemberCommand.SuspendTask(FIRST, 0));
		on(new MemberEvent.TaskEnded(FIRST, 0, JobOutcome.SUSPENDED));
		assertThat(this.commands).noneMatch(MemberCommand.Drained.class::isInstance);
		on(new MemberEvent.Forgotten(FIRST));
		assertThat(this.commands).contains(new MemberCommand.Drained());
	}

	private void run(Attempt attempt, int member) {
		prepare(1, attempt, member);
		on(new MemberEvent.StartReceived(1, attempt, member));
		on(new MemberEvent.TaskRunning(attempt, member));
	}

	private void prepare(long epoch, Attempt attempt, int member) {
		on(new MemberEvent.PrepareReceived(epoch, attempt, member, SPEC, false));
	}

	private void pass(long millis) {
		this.now += millis;
		on(new MemberEvent.TimePassed());
	}

	private void on(MemberEvent event) {
		this.commands = this.keeper.handle(this.now, event);
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
