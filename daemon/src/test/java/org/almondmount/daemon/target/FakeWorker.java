package org.almondmount.daemon.target;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import org.almondmount.jobs.Attempt;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.services.WorkerClient;

/**
 * A worker that runs at once what it is told to run.
 */
final class FakeWorker implements WorkerClient {

	private final List<TaskReport> tasks = new CopyOnWriteArrayList<>();

	@Override
	public CompletableFuture<Void> start(Attempt attempt, int member, JobSpec spec, boolean fromCheckpoint,
			Duration lease) {
		this.tasks.add(new TaskReport(attempt, member, "running", 0, Resources.NONE));
		return done();
	}

	@Override
	public CompletableFuture<Void> renew(Attempt attempt, int member, Duration lease) {
		return done();
	}

	@Override
	public CompletableFuture<Void> suspend(Attempt attempt, int member) {
		return end(attempt, member, "suspended");
	}

	@Override
	public CompletableFuture<Void> stop(Attempt attempt, int member) {
		return end(attempt, member, "stopped");
	}

	@Override
	public CompletableFuture<Void> throttle(Attempt attempt, int member) {
		return done();
	}

	@Override
	public CompletableFuture<List<TaskReport>> tasks() {
		return CompletableFuture.completedFuture(List.copyOf(this.tasks));
	}

	private CompletableFuture<Void> end(Attempt attempt, int member, String state) {
		this.tasks.replaceAll((task) -> {
			boolean meant = task.attempt().equals(attempt) && task.member() == member && task.state().equals("running");
			return meant ? new TaskReport(attempt, member, state, 1, Resources.NONE) : task;
		});
		return done();
	}

	private static CompletableFuture<Void> done() {
		return CompletableFuture.completedFuture(null);
	}

}
