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
 * A worker whose runs end after three looks. Thread-safe.
 */
final class MemoryWorker implements WorkerCalls {

	private static final int LOOKS = 3;

	private static final int PERCENT_A_LOOK = 30;

	private final WorkerIncarnation life;

	private final Map<WorkerCommand.Start, Integer> looks = new HashMap<>();

	private final List<Ended> ended = new ArrayList<>();

	private long lastEnd;

	MemoryWorker(WorkerIncarnation life) {
		this.life = life;
	}

	@Override
	public synchronized CompletableFuture<WorkerEvent> look(WorkerCommand.Poll look) {
		this.ended.removeIf((end) -> end.sequence() <= look.acknowledgedEnd());
		List<Running> running = new ArrayList<>();
		for (WorkerCommand.Start start : List.copyOf(this.looks.keySet())) {
			int seen = this.looks.merge(start, 1, Integer::sum);
			if (seen > LOOKS) {
				this.looks.remove(start);
				this.ended.add(new Ended(++this.lastEnd, start.task(), start.run(), RunOutcome.DONE, "saved-" + seen));
				continue;
			}
			running.add(new Running(start.task(), start.run(), "saved-" + seen, seen * PERCENT_A_LOOK));
		}
		return CompletableFuture.completedFuture(new WorkerEvent.PollAnswered(look.pollNumber(), this.life,
				System.currentTimeMillis(), running, this.ended));
	}

	@Override
	public synchronized CompletableFuture<WorkerEvent.StartCallEnded> start(WorkerCommand.Start start) {
		this.looks.put(start, 0);
		return CompletableFuture
			.completedFuture(new WorkerEvent.StartCallEnded(start.task(), start.run(), CallOutcome.DONE, ""));
	}

	@Override
	public synchronized CompletableFuture<WorkerEvent.StopCallEnded> stop(WorkerCommand.Stop stop) {
		this.looks.keySet().removeIf((start) -> start.task().equals(stop.task()) && start.run() == stop.run());
		return CompletableFuture
			.completedFuture(new WorkerEvent.StopCallEnded(stop.task(), stop.run(), CallOutcome.DONE));
	}

}
