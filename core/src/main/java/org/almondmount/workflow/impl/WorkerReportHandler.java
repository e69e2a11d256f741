package org.almondmount.workflow.impl;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;
import org.almondmount.workflow.WorkflowCommand;

/**
 * Evaluates the reports and the silence of workers. Owned by the scheduler.
 */
final class WorkerReportHandler {

	/** Time to deliver a stop command and its confirmation, in milliseconds. */
	private static final long STOP_COMMAND_MILLIS = 400;

	/**
	 * Time by which a draining worker usually outlasts its announced end, in
	 * milliseconds.
	 */
	private static final long DRAIN_MARGIN_MILLIS = 500;

	/**
	 * Time without progress after which a run is stalled: three reports of the same
	 * percentage.
	 */
	private static final long STALL_TIMEOUT_MILLIS = 3_000;

	/**
	 * Time after which a running task of a service is considered not to crash its
	 * workers.
	 */
	private static final long CRASH_FREE_SERVICE_MILLIS = 30_000;

	/** Time for which a worker with a stalled run is given no new runs. */
	private static final long STALL_PAUSE_MILLIS = 5_000;

	private final SchedulerState state;

	private final RunLifecycle runLifecycle;

	WorkerReportHandler(SchedulerState state, RunLifecycle runLifecycle) {
		this.state = state;
		this.runLifecycle = runLifecycle;
	}

	void onHeartbeat(String target) {
		Worker worker = this.state.workers().get(target);
		if (worker != null) {
			worker.recordContact(this.state.steadyMillis());
		}
	}

	void onReport(WorkerReport report) {
		Worker worker = resolveWorker(report);
		this.runLifecycle.workerHealth().adopt(worker);
		boolean wasDraining = worker.draining();
		worker.describe(this.state.steadyMillis(), report.worker());
		worker.raiseEpoch(report.epoch());
		if (worker.draining() && !wasDraining) {
			this.state.explain("worker-draining", "worker", worker.target(), "life", worker.incarnation(),
					"remainingMillis", report.worker().remainingMillis());
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

	/**
	 * Closes the runs of workers whose lease has lapsed, and resends unanswered commands.
	 */
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
		this.state.explain("worker-lapsed", "worker", worker.target(), "life", worker.incarnation(), "silentMillis",
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

	// A run that saves checkpoints is stopped just before its worker ends, so that almost
	// all of its work is kept. A run that does not, and cannot end in time, only loses
	// more work by continuing: it is stopped at once, with its gang, and restarts
	// elsewhere sooner.
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
					"why", "the worker is draining", "staysMillis", availableMillis, "leftMillis",
					run.remainingMillis(now));
			this.runLifecycle.stop(run, WorkOutcome.WORKER_LEFT);
		}
	}

	// Draining workers often stay a little longer than announced, and the remaining run
	// time is known only to about a percent of the whole.
	private static boolean cannotEndWithin(long availableMillis, long now, Run run) {
		return run.remainingMillis(now) > availableMillis + availableMillis / 4 + DRAIN_MARGIN_MILLIS;
	}

	// A worker whose runs are stalled looks busy and healthy. A run that makes progress
	// takes a tenth of a second for a percent, so a run that reports the same percentage
	// for seconds is better restarted elsewhere. A gang makes no progress while a member
	// is missing, and a member that has completed its part waits for the slowest member:
	// stopping it would lose the work of all members.
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
		WorkerIncarnation incarnation = report.worker().incarnation();
		Worker known = this.state.workers().get(report.target());
		if (known != null && known.incarnation().equals(incarnation)) {
			known.recordContact(this.state.steadyMillis());
			return known;
		}
		this.state.workers().remove(report.target());
		Worker next = this.state.worker(report.target(), incarnation);
		next.raiseEpoch(report.epoch());
		this.state.explain("worker-known", "worker", report.target(), "life", incarnation, "zone",
				report.worker().zone(), "rack", report.worker().rack(), "capacity", report.worker().capacity());
		if (known != null) {
			this.state.explain("worker-reborn", "worker", known.target(), "life", incarnation, "before",
					known.incarnation(), "runs", known.runs().size());
			List.copyOf(known.runs()).forEach((run) -> stopRunOfPreviousIncarnation(run, next));
		}
		return next;
	}

	// The runs of the previous incarnation are gone. But a start command may reach the
	// worker seconds after the run was given up, and a worker that has returned under the
	// same name would execute it, so that the task would run twice. A stop command to the
	// new incarnation prevents this: a worker refuses a run that was stopped before.
	private void stopRunOfPreviousIncarnation(Run run, Worker next) {
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
			this.state.emit(
					new WorkflowCommand.StopRun(worker.target(), worker.incarnation(), running.task(), running.run()));
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
		recordSpeed(run);
		updateCrashRisk(run);
		this.runLifecycle.workerHealth().recordWork(run);
	}

	private void recordSpeed(Run run) {
		if (this.state.has(SchedulerFeature.PREFER_FAST_WORKERS) && depictsSpeed(run)) {
			run.sampleRunTime(this.state.steadyMillis()).ifPresent((millis) -> this.state.recordSpeed(run, millis));
		}
	}

	// Away from its data, on CPU time that others leave, or while it stops or waits for
	// its gang, a run is slow on any worker.
	private static boolean depictsSpeed(Run run) {
		Step spec = run.task().step().spec();
		String dataRack = spec.placement().dataRack();
		return !spec.longRunning() && !spec.service().idleCpuOnly() && !run.stopping() && !run.isProgressComplete()
				&& (dataRack.isEmpty() || dataRack.equals(run.worker().rack()));
	}

	// A service eventually experiences many crashes without being to blame.
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
			findRun(worker, end.task(), end.run()).ifPresentOrElse(
					(run) -> this.runLifecycle.close(run, end.outcome(), end.checkpoint()),
					() -> explainUnknownEnd(worker, end));
		}
		long upTo = worker.lastSeenEnd();
		if (upTo > lastSeen) {
			this.state.writeAheadBuffer().afterPersisted(() -> acknowledge(worker, upTo));
		}
		else if (ends.stream().anyMatch((end) -> end.sequence() <= worker.lastPersistedEnd())) {
			acknowledge(worker, worker.lastPersistedEnd());
		}
	}

	private void explainUnknownEnd(Worker worker, WorkerReport.Ended end) {
		boolean workRepeated = end.outcome().done() && findTask(end.task())
			.filter((task) -> !task.done() && !task.step().job().over() && !task.step().spec().longRunning())
			.isPresent();
		if (workRepeated) {
			this.state.explain("end-too-late", "task", end.task(), "run", end.run(), "worker", worker.target(), "life",
					worker.incarnation(), "how", end.outcome());
		}
	}

	// An acknowledgement is lost with the connection, or with a target that restarts
	// before its worker has received it. The worker then reports the end again.
	private void acknowledge(Worker worker, long upTo) {
		worker.lastPersistedEnd(upTo);
		this.state.emit(new WorkflowCommand.AcknowledgeEnds(worker.target(), worker.incarnation(), upTo));
	}

	// A run of an earlier term that the worker neither runs nor reports as ended was
	// never started: the worker now obeys this epoch and refuses commands of earlier ones
	// that are still in transit. Only a stop command makes this certain.
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
