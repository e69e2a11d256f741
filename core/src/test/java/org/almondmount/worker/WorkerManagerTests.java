package org.almondmount.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.almondmount.worker.WorkerEvent.CallOutcome;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerLife;
import org.almondmount.workflow.WorkerReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerManagerTests {

	private static final WorkerLife INCARNATION = new WorkerLife("w", 500);

	private static final ResourceAmount CAPACITY = new ResourceAmount(8_000, 8_000, 8);

	private static final TaskId TASK = new TaskId("j", 0, 0, 0);

	private final WorkerManager manager = new WorkerManager("t", WorkerPolicy.DEFAULT);

	private final List<WorkerCommand> commands = new ArrayList<>();

	private long now = 10_000;

	private long announcementCount;

	// The process has just started and heard of no holder. It looks at the worker to
	// learn which life is there. A lease that it made up would let tasks run on that the
	// holder believes gone, and they would run twice.
	@Test
	void leaseIsNotRenewedWithoutAGrant() {
		feed(new WorkerEvent.Tick());
		answerPolls();
		this.now += 2_000;
		feed(new WorkerEvent.Tick());
		assertThat(this.commands).filteredOn(WorkerCommand.Poll.class::isInstance)
			.allMatch((poll) -> ((WorkerCommand.Poll) poll).leaseUntilMillis() == 0);
	}

	// The process was restarted and finds the holder before its worker has answered. The
	// holder grants nothing for a worker that was not heard, and refused every order
	// until the next heartbeat was due.
	@Test
	void heartbeatIsSentAsSoonAsTheWorkerAnswersAfterARestart() {
		feed(new WorkerEvent.HolderConnected(1));
		assertThat(heartbeats()).containsOnly(WorkerCommand.SendHeartbeat.WORKER_SILENT);
		feed(new WorkerEvent.WorkerAnnounced(description(false), ++this.announcementCount));
		answerPolls();
		assertThat(heartbeats()).last().isNotEqualTo(WorkerCommand.SendHeartbeat.WORKER_SILENT);
	}

	// A call that begins a run is not answered and the process is killed. The holder
	// orders the run again; the new process knows nothing of the call, which the worker
	// may still carry out. "Not begun" may only be said once the worker was told to stop
	// the run.
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

	// The order lay in a connection that was cut; when it arrives the lease that was
	// granted before it has run out, and the holder has started the task elsewhere.
	@Test
	void startOrderReceivedAfterLeaseExpiryIsRefused() {
		connectWithLease();
		this.now += 7_000;
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against an end that is heard of up to a second late, because the worker was
	// idle before the run began and is looked at only now and then.
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

	// Guards against orders that vanish without a trace.
	@Test
	void orderOfAnEarlierEpochOrAnotherIncarnationIsIgnoredWithAReason() {
		connectWithLease();
		feed(new WorkerEvent.HolderConnected(2));
		feed(new WorkerEvent.StopOrdered(1, INCARNATION, TASK, 1));
		feed(new WorkerEvent.StopOrdered(2, new WorkerLife("w", 400), TASK, 1));
		assertThat(this.commands).noneMatch(WorkerCommand.Stop.class::isInstance)
			.contains(new WorkerCommand.IgnoreOrder("stop", TASK, 1, 1, IgnoredReason.OLD_EPOCH),
					new WorkerCommand.IgnoreOrder("stop", TASK, 1, 2, IgnoredReason.ANOTHER_LIFE));
	}

	// The process has just started. A look goes out before the worker has told its name
	// and is answered after it has. The holder's orders name the worker and have to be
	// obeyed.
	@Test
	void pollAnswerWithoutWorkerNameKeepsTheKnownName() {
		feed(new WorkerEvent.Tick());
		feed(new WorkerEvent.WorkerAnnounced(description(false), ++this.announcementCount));
		feed(new WorkerEvent.HolderConnected(1));
		feed(new WorkerEvent.PollAnswered(1, new WorkerLife("", INCARNATION.bornMillis()), 900, List.of(), List.of()));
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

	// Announcements overtake each other: an older one that says "ready" comes after the
	// one that says "draining". Nothing may be started on a worker that leaves.
	@Test
	void drainingWorkerStaysDrainingInItsIncarnation() {
		connectWithLease();
		feed(new WorkerEvent.WorkerAnnounced(description(true), ++this.announcementCount));
		feed(new WorkerEvent.WorkerAnnounced(description(false), ++this.announcementCount));
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against a start into room that the worker no longer has.
	@Test
	void startOrderBeyondTheCapacityIsRefused() {
		connectWithLease();
		ResourceAmount more = new ResourceAmount(8_000, 8_000, 9);
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", more));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance)
			.anyMatch(WorkerCommand.Stop.class::isInstance);
	}

	// Guards against room that an announcement tells of which a later one has overtaken.
	@Test
	void overtakenAnnouncementIsIgnored() {
		connectWithLease();
		ResourceAmount less = new ResourceAmount(8_000, 8_000, 4);
		feed(new WorkerEvent.WorkerAnnounced(description(INCARNATION, less, false), 9));
		feed(new WorkerEvent.WorkerAnnounced(description(INCARNATION, CAPACITY, false), 8));
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against a crash under a run that reads like an order that was never carried
	// out.
	@Test
	void runsActiveDuringAWorkerCrashAreCounted() {
		connectWithLease();
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.StartCallEnded(TASK, 1, CallOutcome.DONE, ""));
		this.now += 400;
		answerWithRunning(TASK);
		this.now += 3_000;
		feed(new WorkerEvent.WorkerAnnounced(description(new WorkerLife("w", 4_000), false), ++this.announcementCount));
		assertThat(this.commands).contains(new WorkerCommand.CountCrash(INCARNATION,
				List.of(new WorkerReport.Crashed(INCARNATION, TASK, 1, 400))));
	}

	// Guards against a task that is blamed for a worker on which it was never begun.
	@Test
	void unansweredStartCallIsNotCountedAsCrash() {
		connectWithLease();
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.WorkerAnnounced(description(new WorkerLife("w", 4_000), false), ++this.announcementCount));
		assertThat(this.commands).noneMatch(WorkerCommand.CountCrash.class::isInstance);
	}

	// Guards against a task that is blamed for a worker that left at notice.
	@Test
	void announcedShutdownIsNotCountedAsCrash() {
		connectWithLease();
		feed(new WorkerEvent.StartOrdered(1, 1, INCARNATION, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.StartCallEnded(TASK, 1, CallOutcome.DONE, ""));
		feed(new WorkerEvent.WorkerAnnounced(description(true), ++this.announcementCount));
		feed(new WorkerEvent.WorkerAnnounced(description(new WorkerLife("w", 4_000), false), ++this.announcementCount));
		assertThat(this.commands).noneMatch(WorkerCommand.CountCrash.class::isInstance);
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

	private static WorkerDescription description(WorkerLife incarnation, boolean draining) {
		return description(incarnation, CAPACITY, draining);
	}

	private static WorkerDescription description(WorkerLife incarnation, ResourceAmount capacity, boolean draining) {
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
