package org.almondmount.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.almondmount.workflow.WorkflowCommand.StartRun;
import org.almondmount.workflow.WorkflowCommand.StopRun;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A worker says that it leaves in some seconds. What can't be done by then and saves
 * nothing runs on for its caller in vain: at the end it is lost, with the whole gang, and
 * begins anew that much later. What will be done is left alone.
 */
class LeavingWorkerTests extends SchedulerFixture {

	private static final long LEAVES_IN_MILLIS = 3_500;

	@Test
	void whatCannotBeDoneBeforeItsWorkerLeavesIsStoppedAtOnce() {
		begin(1);
		StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		progress(start, 0, 2_000, 20);
		assertThat(stopsAfterNotice(start, 20)).hasSize(1);
	}

	@Test
	void whatWillBeDoneBeforeItsWorkerLeavesGoesOn() {
		begin(1);
		StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		progress(start, 0, 7_000, 70);
		assertThat(stopsAfterNotice(start, 70)).isEmpty();
	}

	@Test
	void whatSavesGoesOnUntilJustBeforeItsWorkerLeaves() {
		begin(1);
		StartRun start = startsOf(job("a", 2, saving(1, 1))).get(0);
		progress(start, 0, 2_000, 20);
		assertThat(stopsAfterNotice(start, 20)).isEmpty();
		this.now += LEAVES_IN_MILLIS - 500;
		assertThat(stops(report(start, 50, LEAVES_IN_MILLIS - 3_000))).hasSize(1);
	}

	@Test
	void aGangIsStoppedWholeWhereOneOfItsWorkersLeaves() {
		begin(2);
		List<StartRun> starts = startsOf(job("a", 2, gang(2, 8)));
		starts.forEach(this::run);
		this.now += 1_000;
		starts.forEach(this::run);
		List<StopRun> stops = new ArrayList<>(stopsAfterNotice(starts.get(0), 10));
		stops.addAll(stops(end(starts.get(0), RunEnding.STOPPED)));
		assertThat(stops).extracting(StopRun::target).containsExactly(starts.get(0).target(), starts.get(1).target());
	}

	// The run was under way when this term began. Taken from the time since then, half of
	// the work would look like a second's.
	@Test
	void whatAnEarlierTermBeganIsJudgedByItsOwnSpeed() {
		begin(1);
		StartRun start = startsOf(job("a", 2, step(1, 1))).get(0);
		progress(start, 50, 2_000, 70);
		assertThat(stopsAfterNotice(start, 70)).isEmpty();
		assertThat(stopsAfterNotice(start, 71)).isEmpty();
	}

	private void progress(StartRun start, int first, long millis, int last) {
		report(start, first, 0);
		this.now += millis;
		report(start, last, 0);
	}

	private List<StopRun> stopsAfterNotice(StartRun start, int percent) {
		List<WorkflowCommand> commands = new ArrayList<>(report(start, percent, LEAVES_IN_MILLIS));
		commands.addAll(feed(new WorkflowEvent.Tick()));
		return stops(commands);
	}

	private List<WorkflowCommand> report(StartRun start, int percent, long leavesInMillis) {
		int worker = Integer.parseInt(start.target().substring(1));
		WorkerDescription said = new WorkerDescription(new WorkerLife("w" + worker, 1), "pool", "z", Set.of("r1-1"),
				CAPACITY, leavesInMillis > 0, leavesInMillis);
		List<WorkflowCommand> commands = new ArrayList<>(
				feed(new WorkflowEvent.WorkerReported(new WorkerReport(start.target(), said, 1,
						List.of(new WorkerReport.Running(start.task(), start.run(), "", percent)), List.of()))));
		commands.addAll(feed(new WorkflowEvent.Tick()));
		return commands;
	}

}
