package org.almondmount.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.almondmount.worker.WorkerEvent.CallEnding;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WorkerKeeperTests {

	private static final WorkerIncarnation LIFE = new WorkerIncarnation("w", 500);

	private static final ResourceAmount CAPACITY = new ResourceAmount(8_000, 8_000, 8);

	private static final TaskId TASK = new TaskId("j", 0, 0, 0);

	private final WorkerKeeper keeper = new WorkerKeeper("t", WorkerPolicy.DEFAULT);

	private final List<WorkerCommand> commands = new ArrayList<>();

	private long now = 10_000;

	private long announcements;

	// The process has just started and heard of no holder. It looks at the worker to
	// learn which life is there. A lease that it made up would let tasks run on that the
	// holder believes gone, and they would run twice.
	@Test
	void aTargetWithoutAGrantRenewsNoLease() {
		feed(new WorkerEvent.Tick());
		answerLooks();
		this.now += 2_000;
		feed(new WorkerEvent.Tick());
		assertThat(this.commands).filteredOn(WorkerCommand.Look.class::isInstance)
			.allMatch((look) -> ((WorkerCommand.Look) look).leaseUntilMillis() == 0);
	}

	// The process was restarted and finds the holder before its worker has answered. The
	// holder grants nothing for a worker that was not heard, and refused every order
	// until the next heartbeat was due.
	@Test
	void aRestartedTargetAsksForALeaseAsSoonAsItsWorkerAnswers() {
		feed(new WorkerEvent.HolderFound(1));
		assertThat(heartbeats()).containsOnly(WorkerCommand.SendHeartbeat.WORKER_SILENT);
		feed(new WorkerEvent.Described(description(false), ++this.announcements));
		answerLooks();
		assertThat(heartbeats()).last().isNotEqualTo(WorkerCommand.SendHeartbeat.WORKER_SILENT);
	}

	// A call that begins a run is not answered and the process is killed. The holder
	// orders the run again; the new process knows nothing of the call, which the worker
	// may still carry out. "Not begun" may only be said once the worker was told to stop
	// the run.
	@Test
	void aRefusalIsToldOnlyAfterTheWorkerWasToldToStopTheRun() {
		feed(new WorkerEvent.Tick());
		answerLooks();
		feed(new WorkerEvent.HolderFound(1));
		feed(new WorkerEvent.Granted(1, 1, 6_000));
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.SendNotBegun.class::isInstance);
		assertThat(this.commands).anyMatch(WorkerCommand.Stop.class::isInstance);
		feed(new WorkerEvent.StopEnded(TASK, 1, CallEnding.DONE));
		answerLooks();
		assertThat(this.commands).anyMatch(WorkerCommand.SendNotBegun.class::isInstance);
	}

	// The order lay in a connection that was cut; when it arrives the lease that was
	// granted before it has run out, and the holder has started the task elsewhere.
	@Test
	void anOrderThatArrivesAfterItsLeaseBeginsNothing() {
		ready();
		this.now += 7_000;
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against an end that is heard of up to a second late, because the worker was
	// idle before the run began and is looked at only now and then.
	@Test
	void aWorkerThatHasBegunARunIsWaitedOnForItsEndAtOnce() {
		ready();
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		this.commands.clear();
		feed(new WorkerEvent.StartEnded(TASK, 1, CallEnding.DONE, ""));
		long look = looks().get(0).look();
		List<WorkerReport.Running> running = List.of(new WorkerReport.Running(TASK, 1, "", 0));
		feed(new WorkerEvent.Looked(look, LIFE, 900, running, List.of()));
		assertThat(looks()).last().matches((last) -> last.waitMillis() > 0);
	}

	// Guards against orders that vanish without a trace.
	@Test
	void anOrderOfAnEarlierHolderOrForAnotherLifeIsIgnoredAndSaysWhy() {
		ready();
		feed(new WorkerEvent.HolderFound(2));
		feed(new WorkerEvent.StopOrdered(1, LIFE, TASK, 1));
		feed(new WorkerEvent.StopOrdered(2, new WorkerIncarnation("w", 400), TASK, 1));
		assertThat(this.commands).noneMatch(WorkerCommand.Stop.class::isInstance)
			.contains(new WorkerCommand.IgnoreOrder("stop", TASK, 1, 1, IgnoredReason.OLD_EPOCH),
					new WorkerCommand.IgnoreOrder("stop", TASK, 1, 2, IgnoredReason.ANOTHER_LIFE));
	}

	// The process has just started. A look goes out before the worker has told its name
	// and is answered after it has. The holder's orders name the worker and have to be
	// obeyed.
	@Test
	void aLookThatDoesNotKnowTheWorkersNameTakesNothingAway() {
		feed(new WorkerEvent.Tick());
		feed(new WorkerEvent.Described(description(false), ++this.announcements));
		feed(new WorkerEvent.HolderFound(1));
		feed(new WorkerEvent.Looked(1, new WorkerIncarnation("", LIFE.startedAtMillis()), 900, List.of(), List.of()));
		feed(new WorkerEvent.StopOrdered(1, LIFE, TASK, 1));
		assertThat(this.commands).anyMatch(WorkerCommand.Stop.class::isInstance);
	}

	@Test
	void anOrderOfAnEarlierEpochBeginsNothing() {
		ready();
		feed(new WorkerEvent.HolderFound(2));
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	@Test
	void aStartThatIsNotAnsweredIsSentAgain() {
		ready();
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.StartEnded(TASK, 1, CallEnding.UNANSWERED, "no answer"));
		assertThat(this.commands).filteredOn(WorkerCommand.Start.class::isInstance).hasSize(2);
	}

	// Announcements overtake each other: an older one that says "ready" comes after the
	// one that says "draining". Nothing may be started on a worker that leaves.
	@Test
	void aWorkerThatLeavesStaysLeavingInThisLife() {
		ready();
		feed(new WorkerEvent.Described(description(true), ++this.announcements));
		feed(new WorkerEvent.Described(description(false), ++this.announcements));
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against a start into room that the worker no longer has.
	@Test
	void anOrderThatReckonsWithMoreRoomThanThereIsBeginsNothing() {
		ready();
		ResourceAmount more = new ResourceAmount(8_000, 8_000, 9);
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", more));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance)
			.anyMatch(WorkerCommand.Stop.class::isInstance);
	}

	// Guards against room that an announcement tells of which a later one has overtaken.
	@Test
	void anAnnouncementThatWasOvertakenChangesNothing() {
		ready();
		ResourceAmount less = new ResourceAmount(8_000, 8_000, 4);
		feed(new WorkerEvent.Described(description(LIFE, less, false), 9));
		feed(new WorkerEvent.Described(description(LIFE, CAPACITY, false), 8));
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		assertThat(this.commands).noneMatch(WorkerCommand.Start.class::isInstance);
	}

	// Guards against a crash under a run that reads like an order that was never carried
	// out.
	@Test
	void whatWasAtWorkWhenAWorkerCrashedIsCounted() {
		ready();
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.StartEnded(TASK, 1, CallEnding.DONE, ""));
		this.now += 400;
		answerWithRunning(TASK);
		this.now += 3_000;
		feed(new WorkerEvent.Described(description(new WorkerIncarnation("w", 4_000), false), ++this.announcements));
		assertThat(this.commands)
			.contains(new WorkerCommand.CountCrash(LIFE, List.of(new WorkerReport.Crashed(LIFE, TASK, 1, 400))));
	}

	// Guards against a task that is blamed for a worker on which it was never begun.
	@Test
	void anUnansweredStartIsNoCrash() {
		ready();
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.Described(description(new WorkerIncarnation("w", 4_000), false), ++this.announcements));
		assertThat(this.commands).noneMatch(WorkerCommand.CountCrash.class::isInstance);
	}

	// Guards against a task that is blamed for a worker that left at notice.
	@Test
	void aWorkerThatLeftAtNoticeIsNoCrash() {
		ready();
		feed(new WorkerEvent.StartOrdered(1, 1, LIFE, TASK, 1, "program", "", CAPACITY));
		feed(new WorkerEvent.StartEnded(TASK, 1, CallEnding.DONE, ""));
		feed(new WorkerEvent.Described(description(true), ++this.announcements));
		feed(new WorkerEvent.Described(description(new WorkerIncarnation("w", 4_000), false), ++this.announcements));
		assertThat(this.commands).noneMatch(WorkerCommand.CountCrash.class::isInstance);
	}

	private void ready() {
		feed(new WorkerEvent.Tick());
		feed(new WorkerEvent.Described(description(false), ++this.announcements));
		answerLooks();
		feed(new WorkerEvent.HolderFound(1));
		answerLooks();
		feed(new WorkerEvent.Granted(1, 1, 6_000));
	}

	private static WorkerDescription description(boolean draining) {
		return description(LIFE, draining);
	}

	private static WorkerDescription description(WorkerIncarnation life, boolean draining) {
		return description(life, CAPACITY, draining);
	}

	private static WorkerDescription description(WorkerIncarnation life, ResourceAmount capacity, boolean draining) {
		return new WorkerDescription(life, "pool", "zone", Set.of("r1-1"), capacity, draining, 0);
	}

	private List<Long> heartbeats() {
		return this.commands.stream()
			.filter(WorkerCommand.SendHeartbeat.class::isInstance)
			.map((heartbeat) -> ((WorkerCommand.SendHeartbeat) heartbeat).heartbeat())
			.toList();
	}

	private List<WorkerCommand.Look> looks() {
		return this.commands.stream()
			.filter(WorkerCommand.Look.class::isInstance)
			.map(WorkerCommand.Look.class::cast)
			.toList();
	}

	private void answerLooks() {
		for (WorkerCommand command : List.copyOf(this.commands)) {
			if (command instanceof WorkerCommand.Look look) {
				feed(new WorkerEvent.Looked(look.look(), LIFE, 900, List.of(), List.of()));
			}
		}
	}

	private void answerWithRunning(TaskId task) {
		List<WorkerReport.Running> running = List.of(new WorkerReport.Running(task, 1, "", 0));
		feed(new WorkerEvent.Looked(1, LIFE, 900, running, List.of()));
	}

	private void feed(WorkerEvent event) {
		this.commands.addAll(this.keeper.handle(this.now, event));
	}

}
