package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Scheduling of suspects: tasks during whose runs workers crashed.
 */
class CrashSuspectTests extends SchedulerFixture {

	private static final WorkerIncarnation CRASHED_INCARNATION = new WorkerIncarnation("w0", 1);

	private static final long MAX_ISOLATION_WAIT_MILLIS = 2_000;

	private long startedAtMillis = 1;

	// Guards against counting a crash again with each report that contains it.
	@Test
	void repeatedlyReportedCrashCountsOnce() {
		beginTerm(1);
		TaskId task = startsAfterAccepting(job("a", 1, step(1, 1))).get(0).task();
		WorkerReport.Crashed crashed = new WorkerReport.Crashed(CRASHED_INCARNATION, task, 1, 10);
		reportCrash(0, crashed);
		List<WorkflowCommand> afterRepeat = reportCrash(0, crashed, crashed);
		assertThat(afterRepeat).noneMatch((command) -> logsDecision(command, "task-crashed-worker"));
	}

	// Guards against a suspect that is restarted beside other jobs' runs, which are lost
	// if it crashes the worker again.
	@Test
	void suspectIsStartedOnAnIdleWorker() {
		beginTerm(2);
		WorkflowCommand.StartRun suspect = startsAfterAccepting(job("a", 1, step(1, 1))).get(0);
		assertThat(suspect.target()).isEqualTo("t0");
		WorkflowCommand.StartRun other = startsAfterAccepting(job("b", 1, step(1, 7))).get(0);
		assertThat(other.target()).isEqualTo("t0");
		reportRunning(other);
		reportCrash(0, crashOf(suspect, 10), crashOf(other, 9_000));
		List<WorkflowCommand.StartRun> next = startsAfterPersisting(refuseStart(other));
		next.addAll(startsAfterPersisting(refuseStart(suspect)));
		assertThat(next).extracting(WorkflowCommand.StartRun::target).containsExactlyInAnyOrder("t0", "t1");
	}

	// Guards against placing other runs beside a suspect, which are lost if it crashes
	// the worker again.
	@Test
	void nothingStartsBesideASuspectUntilItOutlastsItsCrashes() {
		beginTerm(1);
		WorkflowCommand.StartRun first = startsAfterAccepting(job("a", 1, step(1, 1))).get(0);
		reportCrash(0, crashOf(first, 10));
		WorkflowCommand.StartRun restart = startsAfterPersisting(refuseStart(first)).get(0);
		assertThat(startsAfterAccepting(job("b", 1, step(1, 1)))).isEmpty();
		reportRunning(0, restart);
		this.now += 2_500;
		assertThat(reportRunning(0, restart)).hasSize(1);
	}

	// Guards against a suspect that never starts on a fleet without an idle worker.
	@Test
	void suspectDoesNotWaitForeverForAnIdleWorker() {
		beginTerm(1);
		WorkflowCommand.StartRun other = startsAfterAccepting(job("b", 1, step(1, 4))).get(0);
		reportRunning(0, other);
		WorkflowCommand.StartRun suspect = startsAfterAccepting(job("a", 1, step(1, 1))).get(0);
		WorkerReport.Crashed crashed = new WorkerReport.Crashed(new WorkerIncarnation("w9", 1), suspect.task(), 1, 10);
		startsAfterPersisting(feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t9", drainingWorker(), 1, List.of(), List.of(), List.of(crashed)))));
		assertThat(startsAfterPersisting(refuseStart(suspect))).isEmpty();
		this.now += MAX_ISOLATION_WAIT_MILLIS;
		assertThat(reportRunning(0, other)).hasSize(1);
	}

	// Guards against failing a service for crashes that are spread over a long run time.
	@Test
	void longRunningTaskIsNoSuspectAfterALongRun() {
		beginTerm(1);
		WorkflowCommand.StartRun start = startsAfterAccepting(serviceJob("a")).get(0);
		for (int crashes = 0; crashes < 8; crashes++) {
			reportRunning(0, start);
			this.now += 31_000;
			reportRunning(0, start);
			reportCrash(0, crashOf(start, 31_000));
			start = startsAfterPersisting(refuseStart(start)).get(0);
		}
		assertThat(this.commands).noneMatch((command) -> logsDecision(command, "job-failed"));
	}

	private WorkerReport.Crashed crashOf(WorkflowCommand.StartRun start, long observedRunMillis) {
		return new WorkerReport.Crashed(start.incarnation(), start.task(), start.run(), observedRunMillis);
	}

	private List<WorkflowCommand> reportCrash(int worker, WorkerReport.Crashed... runs) {
		this.startedAtMillis++;
		List<WorkflowCommand> commands = feed(new WorkflowEvent.WorkerReported(new WorkerReport("t" + worker,
				description(worker, this.startedAtMillis, false), 1, List.of(), List.of(), List.of(runs))));
		startsAfterPersisting(commands);
		return commands;
	}

	private List<WorkflowCommand.StartRun> reportRunning(int worker, WorkflowCommand.StartRun start) {
		return startsAfterPersisting(feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t" + worker, description(worker, this.startedAtMillis, false), 1,
						List.of(new WorkerReport.Running(start.task(), start.run(), "", 10)), List.of()))));
	}

	private List<WorkflowCommand> refuseStart(WorkflowCommand.StartRun start) {
		this.now += 400;
		List<WorkflowCommand> commands = new ArrayList<>(
				feed(new WorkflowEvent.RunRefused(start.target(), start.task(), start.run(), "stopped")));
		commands.addAll(feed(new WorkflowEvent.PlacementDue()));
		return commands;
	}

	private static WorkerDescription drainingWorker() {
		return description(9, 2, true);
	}

	private static boolean logsDecision(WorkflowCommand command, String event) {
		return command instanceof WorkflowCommand.LogDecision decision && decision.event().equals(event);
	}

	private Workflow serviceJob(String id) {
		Step step = new Step(1, new ResourceAmount(1_000, 1_000, 1), 0, List.of(), false, false,
				Step.Placement.ANYWHERE, false, new Step.ServiceSpec(true, "image", 0, false, 0));
		return new Workflow(id, "q1", "c", "p", List.of(step), Workflow.Schedule.ONCE, this.now);
	}

}
