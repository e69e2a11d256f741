package org.almondmount.daemon.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.almondmount.gang.MemberCommand;
import org.almondmount.gang.MemberEvent;
import org.almondmount.http.HttpFailure;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.services.WorkerClient;
import org.almondmount.services.WorkerClient.TaskReport;
import org.almondmount.telemetry.EventLog;

/**
 * Carries out orders at the worker and turns what it tells into events. Owned by the
 * decisions duty.
 */
final class WorkerTasks {

	private static final EventLog LOG = EventLog.of(WorkerTasks.class);

	private static final String RUNNING = "running";

	private final WorkerClient worker;

	private final Duration lease;

	private final Consumer<TargetSignal> signals;

	private final Map<TaskKey, TaskReport> last = new HashMap<>();

	private boolean asking;

	WorkerTasks(WorkerClient worker, Duration lease, Consumer<TargetSignal> signals) {
		this.worker = worker;
		this.lease = lease;
		this.signals = signals;
	}

	void start(MemberCommand.StartTask order) {
		this.worker.start(order.attempt(), order.member(), order.spec(), order.fromCheckpoint(), this.lease)
			.whenComplete((nothing, failure) -> {
				if (failure != null) {
					this.signals.accept(startFailed(order, Failures.cause(failure)));
				}
			});
	}

	void renew(Attempt attempt, int member) {
		logFailure("renew", attempt, member, this.worker.renew(attempt, member, this.lease));
	}

	void suspend(Attempt attempt, int member) {
		logFailure("suspend", attempt, member, this.worker.suspend(attempt, member));
	}

	void stop(Attempt attempt, int member) {
		logFailure("stop", attempt, member, this.worker.stop(attempt, member));
	}

	void throttle(Attempt attempt, int member) {
		logFailure("throttle", attempt, member, this.worker.throttle(attempt, member));
	}

	void ask() {
		if (this.asking) {
			return;
		}
		this.asking = true;
		this.worker.tasks().whenComplete((tasks, failure) -> {
			TargetSignal signal = (failure != null)
					? new TargetSignal.WorkerSilent(Failures.cause(failure).getMessage())
					: new TargetSignal.WorkerTold(tasks);
			this.signals.accept(signal);
		});
	}

	void silent(String why) {
		this.asking = false;
		LOG.warn("worker-silent", "why", why);
	}

	/**
	 * Takes the worker's list.
	 * @param tasks all tasks that it knows
	 * @return what happened since the last list
	 */
	List<MemberEvent> told(List<TaskReport> tasks) {
		this.asking = false;
		List<MemberEvent> events = new ArrayList<>();
		Map<TaskKey, TaskReport> before = new HashMap<>(this.last);
		this.last.clear();
		for (TaskReport task : tasks) {
			TaskKey key = new TaskKey(task.attempt(), task.member());
			this.last.put(key, task);
			addEvents(events, task, before.remove(key));
		}
		// A task that ran and that the worker does not know any more: the worker was
		// replaced under it.
		for (TaskReport gone : before.values()) {
			if (gone.state().equals(RUNNING)) {
				events.add(new MemberEvent.TaskEnded(gone.attempt(), gone.member(), JobOutcome.UNKNOWN));
			}
		}
		return events;
	}

	private static void addEvents(List<MemberEvent> events, TaskReport task, TaskReport before) {
		if (task.state().equals(RUNNING)) {
			events.add(new MemberEvent.TaskRunning(task.attempt(), task.member()));
		}
		if (task.checkpoints() > ((before != null) ? before.checkpoints() : 0)) {
			events.add(new MemberEvent.TaskCheckpointed(task.attempt(), task.member()));
		}
		if (before == null || !task.used().equals(before.used())) {
			events.add(new MemberEvent.TaskUsage(task.attempt(), task.member(), task.used()));
		}
		if (!task.state().equals(RUNNING)) {
			events.add(new MemberEvent.TaskEnded(task.attempt(), task.member(), ending(task.state())));
		}
	}

	private static JobOutcome ending(String state) {
		return switch (state) {
			case "succeeded" -> JobOutcome.SUCCEEDED;
			case "failed" -> JobOutcome.FAILED;
			case "worker-failed" -> JobOutcome.WORKER_FAILED;
			case "suspended" -> JobOutcome.SUSPENDED;
			case "stopped" -> JobOutcome.STOPPED;
			default -> JobOutcome.UNKNOWN;
		};
	}

	private static TargetSignal startFailed(MemberCommand.StartTask order, Throwable cause) {
		boolean mayHaveArrived = !(cause instanceof HttpFailure http) || http.mayHaveArrived();
		return new TargetSignal.StartFailed(order.attempt(), order.member(), mayHaveArrived, cause.getMessage());
	}

	private static void logFailure(String order, Attempt attempt, int member, CompletableFuture<Void> done) {
		done.whenComplete((nothing, failure) -> {
			if (failure != null) {
				LOG.warn("worker-order-failed", "order", order, "job", attempt.job(), "attempt", attempt.number(),
						"member", member, "why", Failures.cause(failure).getMessage());
			}
		});
	}

	private record TaskKey(Attempt attempt, int member) {
	}

}
