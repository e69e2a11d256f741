package org.almondmount.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.almondmount.worker.WorkerEvent.CallOutcome;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.RunOutcome;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerManagerTests {

	private static final WorkerIncarnation INCARNATION = new WorkerIncarnation("w", 500);

	private static final ResourceAmount CAPACITY = new ResourceAmount(8_000, 8_000, 8);

	private static final TaskId TASK = new TaskId("j", 0, 0, 0);

	private final WorkerManager manager = new WorkerManager("t", WorkerPolicy.DEFAULT);

	private final List<WorkerCommand> commands = new ArrayList<>();

	private long now = 10_000;

	private long announcementCount;

	private long lastFailedPoll;

	// Guards against a lease that the target renews without a grant: tasks that the
	// holder considers gone would continue, and would run twice. The process has just
	// started and has no holder; it polls the worker to learn its incarnation.
	@Test
	void leaseIsNotRenewedWithoutAGrant() {
		feed(new WorkerEvent.Tick());
		answerPolls();
		this.now += 2_000;
		feed(new WorkerEvent.Tick());
		assertThat(this.commands).filteredOn(WorkerCommand.Poll.class::isInstance)
			.allMatch((poll) -> ((WorkerCommand.Poll) poll).leaseUntilMillis() == 0);
	}

	// Guards against orders that are refused after a restart. The process connects to the
	// holder before its worker has answered; the holder grants no lease for such a
	// worker, and every order would be refused until the next heartbeat is due.
	@Test
	void heartbeatIsSentAsSoonAsTheWorkerAnswersAfterARestart() {
		feed(new WorkerEvent.HolderConnected(1));
		assertThat(heartbeats()).containsOnly(WorkerCommand.SendHeartbeat.WORKER_SILENT);
		feed(new WorkerEvent.WorkerAnnounced(description(false), ++this.announcementCount));
		answerPolls();
		assertThat(heartbeats()).last().isNotEqualTo(WorkerCommand.SendHeartbeat.WORKER_SILENT);
	}

	// Guards against a run that starts after it was reported as not started. A start call
	// is not answered and the process is killed; the holder repeats the order to a new
	// process, which has no record of the call that the worker may still execute. The
	// refusal may be reported only after the worker was ordered to stop the run.
	@Test
	void refusalIsReportedOnlyAfterTheRunWasStopped() {
		feed(new WorkerEvent.Tick());
		answerPolls();
		feed(new WorkerEvent.HolderConnected(1));
		feed(new WorkerEvent.LeaseGranted(1, 1, 6_000));
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance);
		assertThat(this.commands).anyMatch(WorkerCommand.Stop.class::isInstance);
		feed(new WorkerEvent.StopCallEnded(TASK, 1, CallOutcome.DONE));
		answerPolls();
		assertThat(this.commands).anyMatch(WorkerCommand.SendRunNotStarted.class::isInstance);
	}

	// Guards against an order that is delivered late after a broken connection: the lease
	// that was granted before has expired, and the holder has started the task on another
	// worker.
	@Test
	void startOrderReceivedAfterLeaseExpiryIsRefused() {
		connectWithLease();
		this.now += 7_000;
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against an end that is received up to a second late because the worker was
	// idle before the run started and is polled only at intervals.
	@Test
	void longPollStartsAsSoonAsARunIsListed() {
		connectWithLease();
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		this.commands.clear();
		feed(new WorkerEvent.StartCallEnded(TASK, 1, CallOutcome.DONE, ""));
		long pollNumber = polls().get(0).pollNumber();
		List<WorkerReport.Running> running = List.of(new WorkerReport.Running(TASK, 1, "", 0));
		feed(new WorkerEvent.PollAnswered(pollNumber, INCARNATION, 900, running, List.of()));
		assertThat(polls()).last().matches((last) -> last.maxWaitMillis() > 0);
	}

	// Guards against orders that are dropped without being counted or logged.
	@Test
	void orderOfAnEarlierEpochOrAnotherIncarnationIsIgnoredWithAReason() {
		connectWithLease();
		feed(new WorkerEvent.HolderConnected(2));
		feed(new WorkerEvent.StopOrdered(1, INCARNATION, TASK, 1));
		feed(new WorkerEvent.StopOrdered(2, new WorkerIncarnation("w", 400), TASK, 1));
		assertThat(this.commands).noneMatch(WorkerCommand.Stop.class::isInstance)
			.contains(new WorkerCommand.IgnoreOrder("stop", TASK, 1, 1, IgnoredReason.OLD_EPOCH),
					new WorkerCommand.IgnoreOrder("stop", TASK, 1, 2, IgnoredReason.ANOTHER_LIFE));
	}

	// Guards against orders that are ignored after a start of the process. A poll is sent
	// before the worker has announced its name and is answered afterwards without the
	// name; the holder's orders contain the name and have to be executed.
	@Test
	void pollAnswerWithoutWorkerNameKeepsTheKnownName() {
		feed(new WorkerEvent.Tick());
		feed(new WorkerEvent.WorkerAnnounced(description(false), ++this.announcementCount));
		feed(new WorkerEvent.HolderConnected(1));
		feed(new WorkerEvent.PollAnswered(2, INCARNATION, 900, List.of(), List.of()));
		feed(new WorkerEvent.PollAnswered(1, new WorkerIncarnation("", INCARNATION.startedAtMillis()), 900, List.of(),
				List.of()));
		feed(new WorkerEvent.StopOrdered(1, INCARNATION, TASK, 1));
		assertThat(this.commands).anyMatch(WorkerCommand.Stop.class::isInstance);
	}

	@Test
	void startOrderOfAnEarlierEpochIsIgnored() {
		connectWithLease();
		feed(new WorkerEvent.HolderConnected(2));
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	@Test
	void unansweredStartCallIsRetried() {
		connectWithLease();
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.StartCallEnded(TASK, 1, CallOutcome.UNANSWERED, "no answer"));
		assertThat(this.commands).filteredOn(WorkerCommand.Start.class::isInstance).hasSize(2);
	}

	// Guards against a start on a draining worker: an older announcement with the state
	// "ready" arrives after one with the state "draining".
	@Test
	void drainingWorkerStaysDrainingInItsIncarnation() {
		connectWithLease();
		feed(new WorkerEvent.WorkerAnnounced(description(true), ++this.announcementCount));
		feed(new WorkerEvent.WorkerAnnounced(description(false), ++this.announcementCount));
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against a start that needs more capacity than the worker still has.
	@Test
	void startOrderBeyondTheCapacityIsRefused() {
		connectWithLease();
		ResourceAmount more = new ResourceAmount(8_000, 8_000, 9);
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", more));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance)
			.anyMatch(WorkerCommand.Stop.class::isInstance);
	}

	// Guards against capacity from an announcement that a later one has overtaken.
	@Test
	void overtakenAnnouncementIsIgnored() {
		connectWithLease();
		ResourceAmount less = new ResourceAmount(8_000, 8_000, 4);
		feed(new WorkerEvent.WorkerAnnounced(description(INCARNATION, less, false), 9));
		feed(new WorkerEvent.WorkerAnnounced(description(INCARNATION, CAPACITY, false), 8));
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against a crash during a run that is reported like an order that was never
	// executed.
	@Test
	void runsActiveDuringAWorkerCrashAreCounted() {
		connectWithLease();
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.StartCallEnded(TASK, 1, CallOutcome.DONE, ""));
		this.now += 400;
		answerWithRunning(TASK);
		this.now += 3_000;
		restartWorker();
		assertThat(this.commands).contains(new WorkerCommand.CountCrash(INCARNATION,
				List.of(new WorkerReport.Crashed(INCARNATION, TASK, 1, 400))));
	}

	// Guards against a crash that is attributed to a task that was never started on the
	// worker.
	@Test
	void unansweredStartCallIsNotCountedAsCrash() {
		connectWithLease();
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		restartWorker();
		assertThat(this.commands).noneMatch(WorkerCommand.CountCrash.class::isInstance);
	}

	// Guards against a crash that is attributed to a task although the worker announced
	// its shutdown.
	@Test
	void announcedShutdownIsNotCountedAsCrash() {
		connectWithLease();
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.StartCallEnded(TASK, 1, CallOutcome.DONE, ""));
		feed(new WorkerEvent.WorkerAnnounced(description(true), ++this.announcementCount));
		restartWorker();
		assertThat(this.commands).noneMatch(WorkerCommand.CountCrash.class::isInstance);
	}

	// Guards against a task that is started again although its run is done. A worker that
	// shuts down refuses new connections while it still answers the poll on an open one.
	@Test
	void noRunIsGivenUpWhileAPollMayStillReturnItsEnd() {
		WorkerCommand.Poll longPoll = startRunOnLeavingWorker();
		for (int ends = 1; ends <= 3; ends++) {
			feed(new WorkerEvent.EndsRecorded(1, INCARNATION, ends));
			feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "connection refused", true));
			this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
		}
		WorkerReport.Ended end = new WorkerReport.Ended(4, TASK, 1, RunOutcome.DONE, "");
		feed(new WorkerEvent.PollAnswered(longPoll.pollNumber(), INCARNATION, 950, List.of(), List.of(end)));
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance)
			.anyMatch((command) -> command instanceof WorkerCommand.SendReport report
					&& report.report().ended().contains(end));
	}

	// Guards against two runs of a task at a time. The shutdown of a worker is not
	// confirmed in time, so it lives on for seconds, and the answers to its polls are
	// lost.
	@Test
	void unansweredPollsDoNotShowThatAWorkerIsGone() {
		feed(new WorkerEvent.PollFailed(startRunOnLeavingWorker().pollNumber(), "no answer", false));
		for (int i = 0; i < 5; i++) {
			feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "no answer", false));
			this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
			feed(new WorkerEvent.Tick());
		}
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance);
	}

	// Guards against polls of which only those before the announcement failed: the worker
	// was down for a moment and answers again.
	@Test
	void pollsSentBeforeTheAnnouncementDoNotShowThatAWorkerIsGone() {
		startRun();
		for (int ends = 1; ends <= 3; ends++) {
			feed(new WorkerEvent.EndsRecorded(1, INCARNATION, ends));
			feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "connection refused", true));
			this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
		}
		feed(new WorkerEvent.WorkerLeaving(INCARNATION.worker()));
		feed(new WorkerEvent.PollFailed(longPoll().pollNumber(), "connection closed", false));
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance);
	}

	// Guards against runs that wait for the end of their lease although their worker has
	// announced its shutdown and is gone.
	@Test
	void runsOfAWorkerThatIsGoneAreGivenUpAfterOnePause() {
		feed(new WorkerEvent.PollFailed(startRunOnLeavingWorker().pollNumber(), "connection closed", false));
		feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "connection refused", true));
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance);
		this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
		feed(new WorkerEvent.Tick());
		feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "connection refused", true));
		assertThat(this.commands).contains(new WorkerCommand.SendRunNotStarted(TASK, 1, "the worker has shut down"));
	}

	// Guards against two runs of a task at a time: a worker that shuts down refuses
	// connections for a moment, and the first poll that fails is repeated at once.
	@Test
	void refusalsOfOneMomentDoNotShowThatAWorkerIsGone() {
		WorkerCommand.Poll longPoll = startRunOnLeavingWorker();
		List<WorkerReport.Running> running = List.of(new WorkerReport.Running(TASK, 1, "", 0));
		feed(new WorkerEvent.PollAnswered(longPoll.pollNumber(), INCARNATION, 950, running, List.of()));
		this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
		feed(new WorkerEvent.Tick());
		feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "connection refused", true));
		feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "connection refused", true));
		assertThat(lastPoll().pollNumber()).isEqualTo(longPoll.pollNumber() + 2);
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance);
	}

	// Guards against two runs of a task at a time: one poll is refused, and a later one
	// gets a connection but no answer, so the worker was not absent all the time.
	@Test
	void oneRefusalAndAnUnansweredPollDoNotShowThatAWorkerIsGone() {
		feed(new WorkerEvent.PollFailed(startRunOnLeavingWorker().pollNumber(), "connection closed", false));
		feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "connection refused", true));
		this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
		feed(new WorkerEvent.Tick());
		this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
		feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "no answer", false));
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance);
	}

	// Guards against a task that is started again although its run is done: the end is
	// beyond a truncated list, and the holder of a new term orders the run to be stopped.
	@Test
	void aRunWhoseEndMayNotBeListedIsNotReportedAsNotStarted() {
		connectWithLease();
		feed(new WorkerEvent.HolderConnected(2));
		feed(new WorkerEvent.StopOrdered(2, INCARNATION, TASK, 1));
		feed(new WorkerEvent.StopCallEnded(TASK, 1, CallOutcome.DONE));
		TaskId earlier = new TaskId("j", 0, 0, 1);
		WorkerReport.Ended earlierEnd = new WorkerReport.Ended(1, earlier, 1, RunOutcome.DONE, "");
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), INCARNATION, 900, List.of(), List.of(earlierEnd),
				true));
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance);
		feed(new WorkerEvent.EndsRecorded(2, INCARNATION, 1));
		WorkerReport.Ended end = new WorkerReport.Ended(2, TASK, 1, RunOutcome.DONE, "");
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), INCARNATION, 900, List.of(), List.of(end)));
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance)
			.anyMatch((command) -> command instanceof WorkerCommand.SendReport report
					&& report.report().ended().contains(end));
	}

	// Guards against a stop that is never confirmed because a list was truncated once.
	@Test
	void aRunThatNeverStartedIsReportedOnceAllEndsAreListed() {
		connectWithLease();
		feed(new WorkerEvent.StopOrdered(1, INCARNATION, TASK, 1));
		feed(new WorkerEvent.StopCallEnded(TASK, 1, CallOutcome.DONE));
		WorkerReport.Ended other = new WorkerReport.Ended(1, new TaskId("j", 0, 0, 1), 1, RunOutcome.DONE, "");
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), INCARNATION, 900, List.of(), List.of(other), true));
		feed(new WorkerEvent.EndsRecorded(1, INCARNATION, 1));
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), INCARNATION, 900, List.of(), List.of()));
		assertThat(this.commands).contains(new WorkerCommand.SendRunNotStarted(TASK, 1, "stopped before it started"));
	}

	// Guards against a crash that is attributed to a run that had ended before, because a
	// truncated list lacked its end.
	@Test
	void aRunThatIsNoLongerRunningIsNotCountedInACrashAlthoughItsEndIsNotListed() {
		startRun();
		feed(new WorkerEvent.Tick());
		WorkerReport.Ended other = new WorkerReport.Ended(1, new TaskId("j", 0, 0, 1), 1, RunOutcome.DONE, "");
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), INCARNATION, 950, List.of(), List.of(other), true));
		restartWorker();
		assertThat(this.commands).noneMatch(WorkerCommand.CountCrash.class::isInstance);
	}

	// Guards against runs that are placed on a worker that is lost: its target vouches
	// for
	// it although it refuses connections.
	@Test
	void aWorkerThatRefusesConnectionsIsNotVouchedFor() {
		connectWithLease();
		this.now += WorkerPolicy.DEFAULT.pollWaitMillis();
		feed(new WorkerEvent.Tick());
		assertThat(heartbeats()).last().isNotEqualTo(WorkerCommand.SendHeartbeat.WORKER_SILENT);
		feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "connection refused", true));
		this.now += WorkerPolicy.DEFAULT.heartbeatIntervalMillis();
		feed(new WorkerEvent.Tick());
		assertThat(heartbeats()).last().isEqualTo(WorkerCommand.SendHeartbeat.WORKER_SILENT);
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), INCARNATION, 2_900, List.of(), List.of()));
		assertThat(heartbeats()).last().isNotEqualTo(WorkerCommand.SendHeartbeat.WORKER_SILENT);
	}

	// Guards against two runs of a task at a time: the worker is started again under its
	// name before it announces itself, and gets an order that was meant for its previous
	// incarnation. Polls that found that one absent show nothing of a later order.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aRunOrderedAfterItsWorkerWasAbsentIsNotGivenUp(boolean answered) {
		connectWithLease();
		feed(new WorkerEvent.WorkerLeaving(INCARNATION.worker()));
		for (int polls = 0; polls < 2; polls++) {
			this.now += WorkerPolicy.DEFAULT.pollWaitMillis();
			feed(new WorkerEvent.Tick());
			failOutstandingPolls("connection refused", true);
		}
		this.now += 100;
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).anyMatch(WorkerCommand.Start.class::isInstance);
		if (answered) {
			feed(new WorkerEvent.StartCallEnded(TASK, 1, CallOutcome.DONE, ""));
		}
		this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
		feed(new WorkerEvent.Tick());
		failOutstandingPolls("no answer", false);
		assertThat(this.commands).noneMatch(WorkerCommand.SendRunNotStarted.class::isInstance);
	}

	// Guards against a worker that is lost for its target: a report of another writer
	// takes the worker's place, and its own reports are dropped from then on.
	@ParameterizedTest
	@ValueSource(longs = { 400, 900, Long.MAX_VALUE })
	void anAnnouncementThatTheWorkerDeniesChangesNothing(long startedAtMillis) {
		connectWithLease();
		WorkerIncarnation foreign = new WorkerIncarnation("other", startedAtMillis);
		feed(new WorkerEvent.WorkerAnnounced(description(foreign, true), 1_000));
		assertThat(lastPoll()).isEqualTo(new WorkerCommand.Poll(lastPoll().pollNumber(), foreign, 1, 0, 0, 0));
		feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "status 421", true));
		assertThat(this.commands)
			.contains(new WorkerCommand.RefuseAnnouncement(foreign, INCARNATION, AnnouncementRefusal.NOT_THIS_WORKER));
		feed(new WorkerEvent.WorkerAnnounced(description(false), ++this.announcementCount));
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).anyMatch(WorkerCommand.Start.class::isInstance);
		assertThat(heartbeats()).last().isNotEqualTo(WorkerCommand.SendHeartbeat.WORKER_SILENT);
	}

	// Guards against a late report of an earlier incarnation that ends the current one.
	@Test
	void aLateAnnouncementOfAnEarlierIncarnationUnderTheSameNameChangesNothing() {
		startRun();
		WorkerIncarnation earlier = new WorkerIncarnation("w", 300);
		feed(new WorkerEvent.WorkerAnnounced(description(earlier, false), 1_000));
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), INCARNATION, 950,
				List.of(new WorkerReport.Running(TASK, 1, "", 0)), List.of()));
		assertThat(this.commands).noneMatch(WorkerCommand.CountCrash.class::isInstance)
			.contains(new WorkerCommand.RefuseAnnouncement(earlier, INCARNATION, AnnouncementRefusal.NOT_THIS_WORKER));
	}

	// Guards against a worker that is never used again after a restart with its clock set
	// back.
	@Test
	void aWorkerThatRestartsWithAnEarlierStartTimeIsUsedAgain() {
		connectWithLease();
		WorkerIncarnation next = new WorkerIncarnation("w", 100);
		feed(new WorkerEvent.WorkerAnnounced(description(next, false), 1));
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), next, 10, List.of(), List.of()));
		feed(new WorkerEvent.StartOrdered(1, 1, next, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).anyMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against a return to an incarnation that has ended, caused by a late answer.
	@Test
	void aLateAnswerOfAnEarlierIncarnationIsIgnored() {
		connectWithLease();
		feed(new WorkerEvent.EndsRecorded(1, INCARNATION, 1));
		long early = lastPoll().pollNumber();
		restartWorker();
		this.commands.clear();
		feed(new WorkerEvent.PollAnswered(early, INCARNATION, 900, List.of(), List.of()));
		assertThat(this.commands).noneMatch(WorkerCommand.LogDecision.class::isInstance)
			.anyMatch(WorkerCommand.Poll.class::isInstance);
	}

	// Guards against an announcement that is lost with the answer to the poll that was to
	// confirm it.
	@Test
	void anUnansweredConfirmationIsRetriedUntilTheAnnouncementExpires() {
		WorkerIncarnation next = new WorkerIncarnation("next", 900);
		connectWithLease();
		feed(new WorkerEvent.WorkerAnnounced(description(next, false), 1));
		for (int tries = 0; tries < 3; tries++) {
			assertThat(lastPoll().incarnation()).isEqualTo(next);
			feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "no answer", false));
			this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
			this.commands.clear();
			feed(new WorkerEvent.Tick());
		}
		this.now += 4_000;
		feed(new WorkerEvent.Tick());
		assertThat(this.commands)
			.contains(new WorkerCommand.RefuseAnnouncement(next, INCARNATION, AnnouncementRefusal.NOT_CONFIRMED));
	}

	// Guards against announcements that are kept without bound while the worker is
	// silent.
	@Test
	void theOldestOfTooManyAnnouncementsIsDropped() {
		connectWithLease();
		for (int writer = 1; writer <= 9; writer++) {
			feed(new WorkerEvent.WorkerAnnounced(description(new WorkerIncarnation("w" + writer, 900), false), 1));
		}
		assertThat(this.commands).filteredOn(WorkerCommand.RefuseAnnouncement.class::isInstance)
			.containsExactly(new WorkerCommand.RefuseAnnouncement(new WorkerIncarnation("w1", 900), INCARNATION,
					AnnouncementRefusal.TOO_MANY));
	}

	// Guards against ends that the next incarnation forgets before anyone has read them:
	// an
	// acknowledgement of the previous one is executed late.
	@Test
	void anAcknowledgementIsSentUntilTheWorkerHasAnsweredIt() {
		startRun();
		feed(new WorkerEvent.EndsRecorded(1, INCARNATION, 3));
		assertThat(lastPoll().acknowledgedEnd()).isEqualTo(3);
		feed(new WorkerEvent.PollFailed(lastPoll().pollNumber(), "no answer", false));
		this.now += WorkerPolicy.DEFAULT.pollRetryPauseMillis();
		feed(new WorkerEvent.EndsRecorded(1, INCARNATION, 4));
		assertThat(lastPoll().acknowledgedEnd()).isEqualTo(4);
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), INCARNATION, 950, List.of(), List.of()));
		feed(new WorkerEvent.PollAnswered(longPoll().pollNumber(), INCARNATION, 950, List.of(), List.of()));
		this.now += WorkerPolicy.DEFAULT.pollWaitMillis();
		feed(new WorkerEvent.Tick());
		assertThat(lastPoll().acknowledgedEnd()).isZero();
	}

	// Guards against an acknowledgement of the previous incarnation that the next one
	// gets, or that counts as answered by it.
	@Test
	void theNextIncarnationGetsItsOwnAcknowledgementsOnly() {
		startRun();
		feed(new WorkerEvent.EndsRecorded(1, INCARNATION, 3));
		long unanswered = lastPoll().pollNumber();
		WorkerIncarnation next = new WorkerIncarnation("w", 4_000);
		feed(new WorkerEvent.PollAnswered(unanswered, next, 10, List.of(), List.of()));
		assertThat(lastPoll().acknowledgedEnd()).isZero();
		assertThat(lastPoll().incarnation()).isEqualTo(next);
		feed(new WorkerEvent.EndsRecorded(1, next, 2));
		assertThat(lastPoll().acknowledgedEnd()).isEqualTo(2);
	}

	private void restartWorker() {
		WorkerIncarnation next = new WorkerIncarnation("w", 4_000);
		feed(new WorkerEvent.WorkerAnnounced(description(next, false), ++this.announcementCount));
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), next, 10, List.of(), List.of()));
	}

	private void failOutstandingPolls(String reason, boolean absent) {
		List<WorkerCommand.Poll> outstanding = polls().stream()
			.filter((poll) -> poll.pollNumber() > this.lastFailedPoll)
			.toList();
		for (WorkerCommand.Poll poll : outstanding) {
			this.lastFailedPoll = poll.pollNumber();
			feed(new WorkerEvent.PollFailed(poll.pollNumber(), reason, absent));
		}
	}

	private WorkerCommand.Poll startRunOnLeavingWorker() {
		startRun();
		feed(new WorkerEvent.WorkerLeaving(INCARNATION.worker()));
		return longPoll();
	}

	private void startRun() {
		connectWithLease();
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.StartCallEnded(TASK, 1, CallOutcome.DONE, ""));
		List<WorkerReport.Running> running = List.of(new WorkerReport.Running(TASK, 1, "", 0));
		feed(new WorkerEvent.PollAnswered(lastPoll().pollNumber(), INCARNATION, 900, running, List.of()));
	}

	private WorkerCommand.Poll longPoll() {
		return polls().stream().filter((poll) -> poll.maxWaitMillis() > 0).reduce((first, last) -> last).orElseThrow();
	}

	private WorkerCommand.Poll lastPoll() {
		return polls().get(polls().size() - 1);
	}

	private void connectWithLease() {
		feed(new WorkerEvent.Tick());
		feed(new WorkerEvent.WorkerAnnounced(description(false), ++this.announcementCount));
		answerPolls();
		feed(new WorkerEvent.HolderConnected(1));
		answerPolls();
		feed(new WorkerEvent.LeaseGranted(1, 1, 6_000));
	}

	private static WorkerDescription description(boolean draining) {
		return description(INCARNATION, draining);
	}

	private static WorkerDescription description(WorkerIncarnation incarnation, boolean draining) {
		return description(incarnation, CAPACITY, draining);
	}

	private static WorkerDescription description(WorkerIncarnation incarnation, ResourceAmount capacity,
			boolean draining) {
		return new WorkerDescription(incarnation, "pool", "zone", Set.of("r1-1"), capacity, draining, 0);
	}

	private List<Long> heartbeats() {
		return this.commands.stream()
			.filter(WorkerCommand.SendHeartbeat.class::isInstance)
			.map((heartbeat) -> ((WorkerCommand.SendHeartbeat) heartbeat).heartbeat())
			.toList();
	}

	private List<WorkerCommand.Poll> polls() {
		return this.commands.stream()
			.filter(WorkerCommand.Poll.class::isInstance)
			.map(WorkerCommand.Poll.class::cast)
			.toList();
	}

	private void answerPolls() {
		for (WorkerCommand command : List.copyOf(this.commands)) {
			if (command instanceof WorkerCommand.Poll poll) {
				feed(new WorkerEvent.PollAnswered(poll.pollNumber(), INCARNATION, 900, List.of(), List.of()));
			}
		}
	}

	private void answerWithRunning(TaskId task) {
		List<WorkerReport.Running> running = List.of(new WorkerReport.Running(task, 1, "", 0));
		feed(new WorkerEvent.PollAnswered(1, INCARNATION, 900, running, List.of()));
	}

	private void feed(WorkerEvent event) {
		this.commands.addAll(this.manager.handle(this.now, event));
	}

}
