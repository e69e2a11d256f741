package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.almondmount.workflow.WorkflowCommand.StartRun;
import org.almondmount.workflow.WorkflowCommand.StopRun;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs on a worker that announces that it leaves in a few seconds. A run that cannot
 * finish by then and saves no checkpoints has to be stopped at once: otherwise it is lost
 * with its whole gang when the worker leaves, and starts over that much later. A run that
 * will finish in time continues.
 */
class DrainingWorkerTests extends SchedulerFixture {

	private static final long REMAINING_MILLIS = 3_500;

	@Test
	void runThatCannotFinishBeforeItsWorkerLeavesIsStoppedAtOnce() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		reportProgress(start, 0, 2_000, 20);
		assertThat(stopsAfterDrainNotice(start, 20)).hasSize(1);
	}

	@Test
	void runThatWillFinishBeforeItsWorkerLeavesContinues() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		reportProgress(start, 0, 7_000, 70);
		assertThat(stopsAfterDrainNotice(start, 70)).isEmpty();
	}

	@Test
	void runWithCheckpointsContinuesUntilJustBeforeItsWorkerLeaves() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, checkpointedStep(1, 1))).get(0);
		reportProgress(start, 0, 2_000, 20);
		assertThat(stopsAfterDrainNotice(start, 20)).isEmpty();
		this.now += REMAINING_MILLIS - 500;
		assertThat(stops(reportRun(start, 50, REMAINING_MILLIS - 3_000))).hasSize(1);
	}

	@Test
	void wholeGangIsStoppedWhenOneOfItsWorkersLeaves() {
		beginTerm(2);
		List<StartRun> starts = startsAfterAccepting(job("a", 2, gangStep(2, 8)));
		starts.forEach(this::reportRunning);
		this.now += 1_000;
		starts.forEach(this::reportRunning);
		List<StopRun> stops = new ArrayList<>(stopsAfterDrainNotice(starts.get(0), 10));
		stops.addAll(stops(reportEnd(starts.get(0), RunOutcome.STOPPED)));
		assertThat(stops).extracting(StopRun::target).containsExactly(starts.get(0).target(), starts.get(1).target());
	}

	// The run was already active when this term began. A speed computed from its progress
	// and the time since then would be too high, because half of the work was done
	// before.
	@Test
	void runStartedInAnEarlierTermIsEstimatedByItsOwnSpeed() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, step(1, 1))).get(0);
		reportProgress(start, 50, 2_000, 70);
		assertThat(stopsAfterDrainNotice(start, 70)).isEmpty();
		assertThat(stopsAfterDrainNotice(start, 71)).isEmpty();
	}

	private void reportProgress(StartRun start, int firstPercent, long millis, int lastPercent) {
		reportRun(start, firstPercent, 0);
		this.now += millis;
		reportRun(start, lastPercent, 0);
	}

	private List<StopRun> stopsAfterDrainNotice(StartRun start, int percent) {
		List<WorkflowCommand> commands = new ArrayList<>(reportRun(start, percent, REMAINING_MILLIS));
		commands.addAll(feed(new WorkflowEvent.Tick()));
		return stops(commands);
	}

	private List<WorkflowCommand> reportRun(StartRun start, int percent, long remainingMillis) {
		int worker = Integer.parseInt(start.target().substring(1));
		WorkerDescription description = new WorkerDescription(new WorkerIncarnation("w" + worker, 1), "pool", "z",
				Set.of("r1-1"), CAPACITY, remainingMillis > 0, remainingMillis);
		List<WorkflowCommand> commands = new ArrayList<>(
				feed(new WorkflowEvent.WorkerReported(new WorkerReport(start.target(), description, 1,
						List.of(new WorkerReport.Running(start.task(), start.run(), "", percent)), List.of()))));
		commands.addAll(feed(new WorkflowEvent.Tick()));
		return commands;
	}

}
