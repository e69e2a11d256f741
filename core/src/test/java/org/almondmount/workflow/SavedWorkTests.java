package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;

import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.WorkflowCommand.StartRun;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * All VMs lose power at once. A caller sees its job of twenty seconds begin anew, though
 * its worker had saved it each second: the checkpoint was known to the worker and to the
 * holder alone, and both forgot it. So it has to be in the store soon after it was heard
 * of, and a run that is chosen later goes on from there.
 */
class SavedWorkTests extends SchedulerFixture {

	@Test
	void aCheckpointIsKeptWithinASecond() {
		begin(1);
		StartRun start = startsOf(job("a", 2, saving(1, 1))).get(0);
		saved(start, "one");
		TaskRecord kept = keepIn(tickAfter(1_000)).records().get(0).tasks().get(0);
		assertThat(kept.checkpoint()).isEqualTo("one");
	}

	@Test
	void aCheckpointThatIsKeptIsNotWrittenAgain() {
		begin(1);
		StartRun start = startsOf(job("a", 2, saving(1, 1))).get(0);
		saved(start, "one");
		feed(new WorkflowEvent.Kept(keepIn(tickAfter(1_000)).sequence()));
		saved(start, "one");
		assertThat(findKeep(tickAfter(1_000))).isEmpty();
		saved(start, "two");
		assertThat(findKeep(tickAfter(1_000))).isPresent();
	}

	@Test
	void manyCheckpointsGoIntoOneTransactionASecond() {
		begin(1);
		StartRun start = startsOf(job("a", 2, saving(1, 1))).get(0);
		int transactions = 0;
		for (int tenth = 0; tenth < 50; tenth++) {
			saved(start, "at-" + tenth);
			List<WorkflowCommand> commands = tickAfter(100);
			if (findKeep(commands).isPresent()) {
				transactions++;
				feed(new WorkflowEvent.Kept(keepIn(commands).sequence()));
			}
		}
		assertThat(transactions).isBetween(4, 6);
	}

	@Test
	void aRunAfterALossOfPowerGoesOnFromTheCheckpoint() {
		begin(1);
		Workflow job = job("a", 2, saving(1, 1));
		StartRun start = startsOf(job).get(0);
		saved(start, "one");
		JobRecord kept = keepIn(tickAfter(1_000)).records().get(0);
		feed(new WorkflowEvent.TermBegan(2, List.of(new WorkflowEvent.KeptJob(job, Optional.of(kept), false))));
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 77, false), 2, List.of(), List.of())));
		List<StartRun> again = keepAll(
				feed(new WorkflowEvent.RunRefused("t0", start.task(), start.run(), "stopped before it began")));
		assertThat(again).extracting(StartRun::checkpoint).containsExactly("one");
	}

	private void saved(StartRun start, String checkpoint) {
		feed(new WorkflowEvent.WorkerReported(new WorkerReport(start.target(), description(0, 1, false), 1,
				List.of(new WorkerReport.Running(start.task(), start.run(), checkpoint, 10)), List.of())));
	}

	private List<WorkflowCommand> tickAfter(long millis) {
		this.now += millis;
		return feed(new WorkflowEvent.Tick());
	}

}
