package org.almondmount.services;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.almondmount.jobs.Attempt;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;

/**
 * Client of the worker that a target controls. Thread-safe. Each task runs under a lease:
 * the worker stops the task when the lease is not renewed in time.
 */
public interface WorkerClient {

	/**
	 * Starts a task. The call is idempotent: a repeated start has no further effect.
	 * @param attempt the attempt
	 * @param member the member
	 * @param spec the job
	 * @param fromCheckpoint whether to resume from the job's last checkpoint
	 * @param lease time after which the worker stops the task unless the lease is renewed
	 * @return completes when the worker has accepted the command; fails with
	 * {@code HttpFailure} otherwise
	 */
	CompletableFuture<Void> start(Attempt attempt, int member, JobSpec spec, boolean fromCheckpoint, Duration lease);

	/**
	 * Renews a task's lease.
	 * @param attempt the attempt
	 * @param member the member
	 * @param lease the new lease duration, from now
	 * @return completes when the lease is renewed
	 */
	CompletableFuture<Void> renew(Attempt attempt, int member, Duration lease);

	/**
	 * Requests that a task saves a checkpoint and then ends.
	 * @param attempt the attempt
	 * @param member the member
	 * @return completes when the worker has accepted the command
	 */
	CompletableFuture<Void> suspend(Attempt attempt, int member);

	/**
	 * Stops a task immediately.
	 * @param attempt the attempt
	 * @param member the member
	 * @return completes when the worker has accepted the command
	 */
	CompletableFuture<Void> stop(Attempt attempt, int member);

	/**
	 * Throttles a task.
	 * @param attempt the attempt
	 * @param member the member
	 * @return completes when the worker has accepted the command
	 */
	CompletableFuture<Void> throttle(Attempt attempt, int member);

	/**
	 * Lists the tasks of the worker, running or ended.
	 * @return the reported state of each task
	 */
	CompletableFuture<List<TaskReport>> tasks();

	/**
	 * The state of a task as reported by the worker.
	 *
	 * @param attempt the attempt
	 * @param member the member
	 * @param state {@code running}, {@code succeeded}, {@code failed},
	 * {@code worker-failed}, {@code suspended} or {@code stopped}
	 * @param checkpoints number of checkpoints saved so far
	 * @param used resources in use at an earlier sample; may be out of date
	 */
	record TaskReport(Attempt attempt, int member, String state, int checkpoints, Resources used) {
	}

}
