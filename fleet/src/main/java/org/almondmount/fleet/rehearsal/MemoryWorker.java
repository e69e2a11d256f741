package org.almondmount.fleet.rehearsal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.almondmount.fleet.WorkerCalls;
import org.almondmount.worker.WorkerCommand;
import org.almondmount.worker.WorkerEvent;
import org.almondmount.worker.WorkerEvent.CallOutcome;
import org.almondmount.workflow.RunOutcome;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport.Ended;
import org.almondmount.workflow.WorkerReport.Running;

/**
 * A worker whose runs end after three polls. Thread-safe.
 */
final class MemoryWorker implements WorkerCalls {

	private static final int POLLS_PER_RUN = 3;

	private static final int PERCENT_PER_POLL = 30;

	private final WorkerIncarnation incarnation;

	private final Map<WorkerCommand.Start, Integer> pollCounts = new HashMap<>();

	private final List<Ended> ended = new ArrayList<>();

	private long lastEndSequence;

	MemoryWorker(WorkerIncarnation incarnation) {
		this.incarnation = incarnation;
	}

	@Override
	public synchronized CompletableFuture<WorkerEvent> poll(WorkerCommand.Poll poll) {
		this.ended.removeIf((end) -> end.sequence() <= poll.acknowledgedEnd());
		List<Running> running = new ArrayList<>();
		for (WorkerCommand.Start start : List.copyOf(this.pollCounts.keySet())) {
			int pollCount = this.pollCounts.merge(start, 1, Integer::sum);
			if (pollCount > POLLS_PER_RUN) {
				this.pollCounts.remove(start);
				this.ended.add(new Ended(++this.lastEndSequence, start.task(), start.run(), RunOutcome.DONE,
						"saved-" + pollCount));
				continue;
			}
			running.add(new Running(start.task(), start.run(), "saved-" + pollCount, pollCount * PERCENT_PER_POLL));
		}
		return CompletableFuture.completedFuture(new WorkerEvent.PollAnswered(poll.pollNumber(), this.incarnation,
				System.currentTimeMillis(), running, this.ended));
	}

	@Override
	public synchronized CompletableFuture<WorkerEvent.StartCallEnded> start(WorkerCommand.Start start) {
		this.pollCounts.put(start, 0);
		return CompletableFuture
			.completedFuture(new WorkerEvent.StartCallEnded(start.task(), start.run(), CallOutcome.DONE, ""));
	}

	@Override
	public synchronized CompletableFuture<WorkerEvent.StopCallEnded> stop(WorkerCommand.Stop stop) {
		this.pollCounts.keySet().removeIf((start) -> start.task().equals(stop.task()) && start.run() == stop.run());
		return CompletableFuture
			.completedFuture(new WorkerEvent.StopCallEnded(stop.task(), stop.run(), CallOutcome.DONE));
	}

}
