package org.almondmount.fleet;

import java.util.concurrent.CompletableFuture;

import org.almondmount.worker.WorkerCommand;
import org.almondmount.worker.WorkerEvent;

/**
 * Calls to the worker beside a target. Thread-safe. Futures never complete exceptionally:
 * every outcome is an event. No call is retried. What is meant for one incarnation never
 * reaches another one, even if both have the same name.
 */
public interface WorkerCalls {

	/**
	 * Polls the worker and renews its lease.
	 * @param poll the request
	 * @return {@link WorkerEvent.PollAnswered} or {@link WorkerEvent.PollFailed}
	 */
	CompletableFuture<WorkerEvent> poll(WorkerCommand.Poll poll);

	/**
	 * Starts a run.
	 * @param start the run to start
	 * @return the outcome
	 */
	CompletableFuture<WorkerEvent.StartCallEnded> start(WorkerCommand.Start start);

	/**
	 * Stops a run.
	 * @param stop the run to stop
	 * @return the outcome
	 */
	CompletableFuture<WorkerEvent.StopCallEnded> stop(WorkerCommand.Stop stop);

}
