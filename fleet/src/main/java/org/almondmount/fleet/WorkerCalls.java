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
	 * @param poll what to ask
	 * @return {@link WorkerEvent.Looked} or {@link WorkerEvent.LookFailed}
	 */
	CompletableFuture<WorkerEvent> poll(WorkerCommand.Look poll);

	/**
	 * Has a run begin.
	 * @param start what to begin
	 * @return what came of it
	 */
	CompletableFuture<WorkerEvent.StartEnded> start(WorkerCommand.Start start);

	/**
	 * Has a run end.
	 * @param stop what to end
	 * @return what came of it
	 */
	CompletableFuture<WorkerEvent.StopEnded> stop(WorkerCommand.Stop stop);

}
