package org.almondmount.fleet;

import java.util.concurrent.CompletableFuture;

import org.almondmount.worker.WorkerCommand;
import org.almondmount.worker.WorkerEvent;

/**
 * Calls to the worker beside a target. Thread-safe. Futures never fail: every ending is
 * an event. Nothing is sent twice.
 */
public interface WorkerCalls {

	/**
	 * Looks at the worker and renews its lease.
	 * @param look what to ask
	 * @return {@link WorkerEvent.PollAnswered} or {@link WorkerEvent.PollFailed}
	 */
	CompletableFuture<WorkerEvent> look(WorkerCommand.Poll look);

	/**
	 * Has a run begin.
	 * @param start what to begin
	 * @return what came of it
	 */
	CompletableFuture<WorkerEvent.StartCallEnded> start(WorkerCommand.Start start);

	/**
	 * Has a run end.
	 * @param stop what to end
	 * @return what came of it
	 */
	CompletableFuture<WorkerEvent.StopCallEnded> stop(WorkerCommand.Stop stop);

}
