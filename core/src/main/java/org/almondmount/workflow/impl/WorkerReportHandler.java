package org.almondmount.workflow.impl;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;
import org.almondmount.workflow.WorkflowCommand;

/**
 * Draws conclusions from what is heard, and not heard, of workers. Owned by the
 * scheduler.
 */
final class WorkerReportHandler {

	/** The way of an order to stop, and of the word that it is done, in milliseconds. */
	private static final long STOP_COMMAND_MILLIS = 400;

	/** A worker that leaves is there for about so much longer than it says. */
	private static final long DRAIN_MARGIN_MILLIS = 500;

	/** Three reports without a percent more. */
	private static final long STALL_TIMEOUT_MILLIS = 3_000;

	/**
	 * A task that lasts and has been at work for so long does not crash its workers.
	 */
	private static final long CRASH_FREE_SERVICE_MILLIS = 30_000;

	/** A worker whose tasks stood still gets nothing new for so long. */
	private static final long STALL_PAUSE_MILLIS = 5_000;

	private final SchedulerState state;

	private final RunLifecycle runLifecycle;

	WorkerReportHandler(SchedulerState state, RunLifecycle runLifecycle) {
		this.state = state;
		this.runLifecycle = runLifecycle;
	}

	void onContact(String target) {
		Worker worker = this.state.workers().get(target);
		if (worker != null) {
			worker.recordContact(this.state.steadyMillis());
		}
	}

	void onReport(WorkerReport report) {
		Worker worker = resolveWorker(report);
		boolean wasDraining = worker.draining();
		worker.describe(this.state.steadyMillis(), report.worker());
		worker.raiseEpoch(report.epoch());
		if (worker.draining() && !wasDraining) {
			this.state.explain("worker-draining", "worker", worker.target(), "life", worker.life(), "remainingMillis",
					report.worker().remainingMillis());
		}
		for (WorkerReport.Running running : report.running()) {
			processRunning(worker, running);
		}
		processEnds(worker, report.ended());
		processCrashes(report.crashed());
		if (report.epoch() >= this.state.epoch()) {
			stopAbsentInherited(worker, report);
		}
	}

	void onRefusal(String target, TaskId task, int number, String reason) {
		Worker worker = this.state.workers().get(target);
		if (worker == null) {
			return;
		}
		findRun(worker, task, number).ifPresent((run) -> {
			if (!run.stopping()) {
				worker.health().pauseUntil(this.state.steadyMillis() + this.state.policy().refusalPauseMillis());
			}
			this.state.explain("run-refused", "task", task, "run", number, "worker", target, "why", reason);
			this.runLifecycle.closeLost(run, worker.draining() ? WorkOutcome.WORKER_LEFT : WorkOutcome.UNSETTLED);
		});
	}

	/** Gives up what ran where the lease has run out, and repeats unanswered orders. */
	void tick() {
		long now = this.state.steadyMillis();
		for (Worker worker : List.copyOf(this.state.workers().values())) {
			if (!worker.lapsed() && now - worker.lastContactMillis() > this.state.policy().lapsedAfterMillis()) {
				lapse(worker);
			}
			for (Run run : List.copyOf(worker.runs())) {
				resendCommand(now, run);
				moveFromDrainingWorker(now, run);
				stopIfStalled(now, run);
			}
		}
	}

	private void lapse(Worker worker) {
		worker.lapse();
		this.state.explain("worker-lapsed", "worker", worker.target(), "life", worker.life(), "silentMillis",
				this.state.steadyMillis() - worker.lastContactMillis(), "runs", worker.runs().size());
		closeLostRuns(worker);
	}

	private void closeLostRuns(Worker worker) {
		for (Run run : List.copyOf(worker.runs())) {
			run.markWorkerEnded();
			this.runLifecycle.closeLost(run, WorkOutcome.WORKER_LOST);
		}
	}

	private void resendCommand(long now, Run run) {
		boolean due = now - run.lastCommandMillis() >= this.state.policy().orderRetryMillis();
		if (!due || run.worker().lapsed()) {
			return;
		}
		if (run.stopping() && run.state() != Run.State.PERSISTING) {
			this.runLifecycle.sendStop(run);
		}
		else if (run.state() == Run.State.START_SENT) {
			this.runLifecycle.sendStart(run);
		}
	}

	// What saves its progress is stopped just before its worker goes, so that all but the
	// last moment is kept. What does not, and won't be done by then, only loses more by
	// going on: it is stopped at once, with its gang, and begins elsewhere sooner.
	private void moveFromDrainingWorker(long now, Run run) {
		Worker worker = run.worker();
		boolean movable = worker.draining() && run.running() && !run.stopping()
				&& this.state.has(SchedulerFeature.MOVE_FROM_LEAVING);
		if (!movable || run.task().step().spec().longRunning()) {
			return;
		}
		long availableMillis = worker.availableUntilMillis() - now;
		boolean checkpoints = run.task().step().spec().savesCheckpoints();
		boolean stopDue = availableMillis <= this.state.policy().stopTimeoutMillis() + STOP_COMMAND_MILLIS;
		boolean move = checkpoints ? stopDue && run.remainingMillis(now) > availableMillis
				: cannotEndWithin(availableMillis, now, run);
		if (move) {
			this.state.explain("run-moves", "task", run.task().id(), "run", run.number(), "worker", worker.target(),
					"why", "the worker leaves", "staysMillis", availableMillis, "leftMillis", run.remainingMillis(now));
			this.runLifecycle.stop(run, WorkOutcome.WORKER_LEFT);
		}
	}

	// Workers often stay a little longer than they say, and what is left is known to
	// about
	// a percent of the whole.
	private static boolean cannotEndWithin(long availableMillis, long now, Run run) {
		return run.remainingMillis(now) > availableMillis + availableMillis / 4 + DRAIN_MARGIN_MILLIS;
	}

	// A worker on which tasks stand still looks busy and healthy. A task that moves takes
	// a
	// tenth of a second for a percent; one that was seen at the same percentage for
	// seconds is better begun elsewhere. A gang stands still as long as a member is
	// missing, and a member that has done its part waits at its end for the slowest one:
	// stopping it would throw the work of all of them away.
	private void stopIfStalled(long now, Run run) {
		boolean stalled = run.running() && !run.stopping() && !run.isProgressComplete()
				&& run.stalledMillis() >= STALL_TIMEOUT_MILLIS;
		if (!stalled || !this.state.has(SchedulerFeature.STOP_STANDSTILL) || run.task().step().spec().longRunning()
				|| !isGangRunning(run)) {
			return;
		}
		this.state.explain("run-stands-still", "task", run.task().id(), "run", run.number(), "worker",
				run.worker().target(), "percent", run.progressPercent(), "millis", run.stalledMillis());
		run.worker().health().pauseUntil(now + STALL_PAUSE_MILLIS);
		this.runLifecycle.stop(run, WorkOutcome.STOOD_STILL);
	}

	private static boolean isGangRunning(Run run) {
		StepState step = run.task().step();
		return !step.spec().gangScheduled()
				|| step.tasks().stream().allMatch((task) -> task.openRun(run.number()).map(Run::running).orElse(false));
	}

	private Worker resolveWorker(WorkerReport report) {
		WorkerIncarnation life = report.worker().incarnation();
		Worker known = this.state.workers().get(report.target());
		if (known != null && known.life().equals(life)) {
			known.recordContact(this.state.steadyMillis());
			return known;
		}
		this.state.workers().remove(report.target());
		Worker next = this.state.worker(report.target(), life);
		next.raiseEpoch(report.epoch());
		this.state.explain("worker-known", "worker", report.target(), "life", life, "zone", report.worker().zone(),
				"rack", report.worker().rack(), "capacity", report.worker().capacity());
		if (known != null) {
			this.state.explain("worker-reborn", "worker", known.target(), "life", life, "before", known.life(), "runs",
					known.runs().size());
			List.copyOf(known.runs()).forEach((run) -> stopRunOfFormerLife(run, next));
		}
		return next;
	}

	// What ran in the former life is gone. But a call to begin a run may reach the worker
	// seconds after it was given up, and a worker that came back under its name would
	// carry it out, so that the task would run twice. The order to stop it there settles
	// that: a run that was stopped is refused from then on.
	private void stopRunOfFormerLife(Run run, Worker next) {
		if (run.state() == Run.State.PERSISTING) {
			run.worker().remove(run);
			this.runLifecycle.closeLost(run, WorkOutcome.WORKER_LOST);
			return;
		}
		run.moveTo(next);
		run.markStopping(WorkOutcome.WORKER_LOST);
		this.runLifecycle.sendStop(run);
	}

	private void processRunning(Worker worker, WorkerReport.Running running) {
		Optional<Run> known = findRun(worker, running.task(), running.run());
		if (known.isEmpty()) {
			this.state.explain("run-unwanted", "task", running.task(), "run", running.run(), "worker", worker.target());
			this.state.emit(new WorkflowCommand.StopRun(worker.target(), worker.life(), running.task(), running.run()));
			return;
		}
		Run run = known.get();
		run.recordProgress(this.state.steadyMillis(), running.progressPercent());
		run.recordCheckpoint(running.checkpoint(), this.state.policy().checkpointing().intervalMillis());
		run.task().checkpoint(running.checkpoint());
		if (!run.task().step().spec().gangScheduled()) {
			run.markWorking(this.state.steadyMillis());
		}
		else if (isGangRunning(run)) {
			markGangWorking(run);
		}
		updateCrashRisk(run);
	}

	// A service is under many crashes in the end, none of them its fault.
	private void updateCrashRisk(Run run) {
		TaskState task = run.task();
		if (task.crashes().isEmpty()) {
			return;
		}
		long workedMillis = run.workedMillis(this.state.steadyMillis());
		if (workedMillis > task.crashes().riskPeriodMillis()) {
			run.worker().endProbation(run);
		}
		if (task.step().spec().longRunning() && workedMillis >= CRASH_FREE_SERVICE_MILLIS) {
			task.crashes().clear();
			this.state.writeAheadBuffer().markChanged(task.step().job());
		}
	}

	private void markGangWorking(Run run) {
		long now = this.state.steadyMillis();
		for (TaskState task : run.task().step().tasks()) {
			task.openRun(run.number()).ifPresent((member) -> member.markWorking(now));
		}
	}

	private void processCrashes(List<WorkerReport.Crashed> runs) {
		for (CrashAttribution.TaskCrash found : CrashAttribution.attribute(runs)) {
			findTask(found.task()).ifPresent((task) -> this.runLifecycle.recordCrash(task, found.crash()));
		}
	}

	private void processEnds(Worker worker, List<WorkerReport.Ended> ends) {
		long lastSeen = worker.lastSeenEnd();
		for (WorkerReport.Ended end : ends) {
			if (end.sequence() <= lastSeen) {
				continue;
			}
			worker.lastSeenEnd(end.sequence());
			findRun(worker, end.task(), end.run())
				.ifPresent((run) -> this.runLifecycle.close(run, end.outcome(), end.checkpoint()));
		}
		long upTo = worker.lastSeenEnd();
		if (upTo > lastSeen) {
			this.state.writeAheadBuffer().afterPersisted(() -> acknowledge(worker, upTo));
		}
		else if (ends.stream().anyMatch((end) -> end.sequence() <= worker.lastPersistedEnd())) {
			acknowledge(worker, worker.lastPersistedEnd());
		}
	}

	// An acknowledgement is lost with the connection, or with a target that restarts
	// before its worker has heard it. The worker then lists the end again.
	private void acknowledge(Worker worker, long upTo) {
		worker.lastPersistedEnd(upTo);
		this.state.emit(new WorkflowCommand.AcknowledgeEnds(worker.target(), worker.life(), upTo));
	}

	// What an earlier term ordered and the worker neither runs nor lists as ended was
	// never begun: the worker obeys this epoch now and refuses whatever still comes of an
	// earlier one. Only the order to stop it settles that for certain.
	private void stopAbsentInherited(Worker worker, WorkerReport report) {
		Set<String> running = new HashSet<>();
		report.running().forEach((run) -> running.add(run.task() + "/" + run.run()));
		for (Run run : List.copyOf(worker.runs())) {
			boolean absent = !running.contains(run.task().id() + "/" + run.number());
			if (run.state() == Run.State.INHERITED && absent) {
				this.runLifecycle.stop(run, WorkOutcome.UNSETTLED);
			}
		}
	}

	private Optional<Run> findRun(Worker worker, TaskId id, int number) {
		return findTask(id).flatMap((task) -> task.openRun(number)).filter((run) -> run.worker() == worker);
	}

	private Optional<TaskState> findTask(TaskId id) {
		JobState job = this.state.jobs().get(id.job());
		StepState step = (job != null) ? job.step(id.occurrence(), id.step()) : null;
		if (step == null || id.index() < 0 || id.index() >= step.tasks().size()) {
			return Optional.empty();
		}
		return Optional.of(step.tasks().get(id.index()));
	}

}
