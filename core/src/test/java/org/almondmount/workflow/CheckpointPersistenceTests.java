package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;

import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.WorkflowCommand.StartRun;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a job of twenty seconds that starts over after all VMs lost power at
 * once, although its worker had saved a checkpoint each second: only the worker and the
 * holder knew the checkpoint, and both lost it. It therefore has to be stored soon after
 * it is reported, and a later run has to resume from it.
 */
class CheckpointPersistenceTests extends SchedulerFixture {

	@Test
	void checkpointIsStoredWithinASecond() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, checkpointedStep(1, 1))).get(0);
		reportCheckpoint(start, "one");
		TaskRecord stored = requirePersist(tickAfter(1_000)).records().get(0).tasks().get(0);
		assertThat(stored.checkpoint()).isEqualTo("one");
	}

	@Test
	void storedCheckpointIsNotWrittenAgain() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, checkpointedStep(1, 1))).get(0);
		reportCheckpoint(start, "one");
		feed(new WorkflowEvent.Persisted(requirePersist(tickAfter(1_000)).sequence()));
		reportCheckpoint(start, "one");
		assertThat(findPersist(tickAfter(1_000))).isEmpty();
		reportCheckpoint(start, "two");
		assertThat(findPersist(tickAfter(1_000))).isPresent();
	}

	@Test
	void checkpointsAreBatchedIntoOneTransactionPerSecond() {
		beginTerm(1);
		StartRun start = startsAfterAccepting(job("a", 2, checkpointedStep(1, 1))).get(0);
		int transactions = 0;
		for (int tenth = 0; tenth < 50; tenth++) {
			reportCheckpoint(start, "at-" + tenth);
			List<WorkflowCommand> commands = tickAfter(100);
			if (findPersist(commands).isPresent()) {
				transactions++;
				feed(new WorkflowEvent.Persisted(requirePersist(commands).sequence()));
			}
		}
		assertThat(transactions).isBetween(4, 6);
	}

	@Test
	void runAfterAPowerLossResumesFromTheCheckpoint() {
		beginTerm(1);
		Workflow job = job("a", 2, checkpointedStep(1, 1));
		StartRun start = startsAfterAccepting(job).get(0);
		reportCheckpoint(start, "one");
		JobRecord stored = requirePersist(tickAfter(1_000)).records().get(0);
		feed(new WorkflowEvent.TermBegan(2, List.of(new WorkflowEvent.StoredJob(job, Optional.of(stored), false))));
		feed(new WorkflowEvent.WorkerReported(
				new WorkerReport("t0", description(0, 77, false), 2, List.of(), List.of())));
		List<StartRun> restarts = startsAfterPersisting(
				feed(new WorkflowEvent.RunRefused("t0", start.task(), start.run(), "stopped before it began")));
		assertThat(restarts).extracting(StartRun::checkpoint).containsExactly("one");
	}

	private void reportCheckpoint(StartRun start, String checkpoint) {
		feed(new WorkflowEvent.WorkerReported(new WorkerReport(start.target(), description(0, 1, false), 1,
				List.of(new WorkerReport.Running(start.task(), start.run(), checkpoint, 10)), List.of())));
	}

	private List<WorkflowCommand> tickAfter(long millis) {
		this.now += millis;
		return feed(new WorkflowEvent.Tick());
	}

}
