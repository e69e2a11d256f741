package org.almondmount.services;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.almondmount.jobs.Attempt;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;

/**
 * The worker beside a target. Thread-safe. A task runs under a lease: the worker stops it
 * by itself when the lease is not renewed.
 */
public interface WorkerClient {

	/**
	 * Starts a task; starting the same one twice starts it once.
	 * @param attempt the attempt
	 * @param member the member
	 * @param spec the job
	 * @param fromCheckpoint whether to go on from the job's last checkpoint
	 * @param lease time until the worker stops it unless renewed
	 * @return completes when the worker has taken it; fails with {@code HttpFailure} else
	 */
	CompletableFuture<Void> start(Attempt attempt, int member, JobSpec spec, boolean fromCheckpoint, Duration lease);

	/**
	 * Renews a task's lease.
	 * @param attempt the attempt
	 * @param member the member
	 * @param lease the new time from now
	 * @return completes when renewed
	 */
	CompletableFuture<Void> renew(Attempt attempt, int member, Duration lease);

	/**
	 * Has the task checkpointed and then ended.
	 * @param attempt the attempt
	 * @param member the member
	 * @return completes when the worker has taken the order
	 */
	CompletableFuture<Void> suspend(Attempt attempt, int member);

	/**
	 * Has the task ended now.
	 * @param attempt the attempt
	 * @param member the member
	 * @return completes when the worker has taken the order
	 */
	CompletableFuture<Void> stop(Attempt attempt, int member);

	/**
	 * Slows the task down.
	 * @param attempt the attempt
	 * @param member the member
	 * @return completes when the worker has taken the order
	 */
	CompletableFuture<Void> throttle(Attempt attempt, int member);

	/**
	 * The tasks that the worker knows, running or ended.
	 * @return their states
	 */
	CompletableFuture<List<TaskReport>> tasks();

	/**
	 * A task as the worker reports it.
	 *
	 * @param attempt the attempt
	 * @param member the member
	 * @param state {@code running}, {@code succeeded}, {@code failed},
	 * {@code worker-failed}, {@code suspended} or {@code stopped}
	 * @param checkpoints checkpoints taken so far
	 * @param used what it used a while ago
	 */
	record TaskReport(Attempt attempt, int member, String state, int checkpoints, Resources used) {
	}

}
