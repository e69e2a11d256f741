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
final class WorkerReports {

	/** The way of an order to stop, and of the word that it is done, in milliseconds. */
	private static final long ORDER_WAY_MILLIS = 400;

	/** A worker that leaves is there for about so much longer than it says. */
	private static final long LEAVES_LATE_MILLIS = 500;

	/** Three reports without a percent more. */
	private static final long STANDSTILL_MILLIS = 3_000;

	/**
	 * A task that lasts and has been at work for so long does not crash its workers.
	 */
	private static final long SOUND_MILLIS = 30_000;

	/** A worker whose tasks stood still gets nothing new for so long. */
	private static final long STANDSTILL_REST_MILLIS = 5_000;

	private final SchedulerState state;

	private final RunLedger ledger;

	WorkerReports(SchedulerState state, RunLedger ledger) {
		this.state = state;
		this.ledger = ledger;
	}

	void heard(String target) {
		Worker worker = this.state.workers().get(target);
		if (worker != null) {
			worker.heard(this.state.steadyMillis());
		}
	}

	void read(WorkerReport report) {
		Worker worker = currentLife(report);
		boolean wasDraining = worker.draining();
		worker.describe(this.state.steadyMillis(), report.worker());
		worker.obeys(report.epoch());
		if (worker.draining() && !wasDraining) {
			this.state.explain("worker-draining", "worker", worker.target(), "life", worker.life(), "remainingMillis",
					report.worker().remainingMillis());
		}
		for (WorkerReport.Running running : report.running()) {
			running(worker, running);
		}
		ended(worker, report.ended());
		crashed(report.crashed());
		if (report.epoch() >= this.state.epoch()) {
			settleInherited(worker, report);
		}
	}

	void refused(String target, TaskId task, int number, String why) {
		Worker worker = this.state.workers().get(target);
		if (worker == null) {
			return;
		}
		find(worker, task, number).ifPresent((run) -> {
			if (!run.stopping()) {
				worker.health().restUntil(this.state.steadyMillis() + this.state.policy().refusalPauseMillis());
			}
			this.state.explain("run-refused", "task", task, "run", number, "worker", target, "why", why);
			this.ledger.lose(run, worker.draining() ? WorkOutcome.WORKER_LEFT : WorkOutcome.UNSETTLED);
		});
	}

	/** Gives up what ran where the lease has run out, and repeats unanswered orders. */
	void timePassed() {
		long now = this.state.steadyMillis();
		for (Worker worker : List.copyOf(this.state.workers().values())) {
			if (!worker.lapsed() && now - worker.lastHeardMillis() > this.state.policy().lapsedAfterMillis()) {
				lapse(worker);
			}
			for (Run run : List.copyOf(worker.runs())) {
				repeatOrder(now, run);
				leaveInTime(now, run);
				leaveStandstill(now, run);
			}
		}
	}

	private void lapse(Worker worker) {
		worker.lapse();
		this.state.explain("worker-lapsed", "worker", worker.target(), "life", worker.life(), "silentMillis",
				this.state.steadyMillis() - worker.lastHeardMillis(), "runs", worker.runs().size());
		closeAll(worker);
	}

	private void closeAll(Worker worker) {
		for (Run run : List.copyOf(worker.runs())) {
			run.workerEnded();
			this.ledger.lose(run, WorkOutcome.WORKER_LOST);
		}
	}

	private void repeatOrder(long now, Run run) {
		boolean due = now - run.lastOrderMillis() >= this.state.policy().orderRetryMillis();
		if (!due || run.worker().lapsed()) {
			return;
		}
		if (run.stopping() && run.state() != Run.State.KEEPING) {
			this.ledger.orderStop(run);
		}
		else if (run.state() == Run.State.ORDERED) {
			this.ledger.orderStart(run);
		}
	}

	// What saves its progress is stopped just before its worker goes, so that all but the
	// last moment is kept. What does not, and won't be done by then, only loses more by
	// going on: it is stopped at once, with its gang, and begins elsewhere sooner.
	private void leaveInTime(long now, Run run) {
		Worker worker = run.worker();
		boolean leaving = worker.draining() && run.running() && !run.stopping()
				&& this.state.has(SchedulerFeature.MOVE_FROM_LEAVING);
		if (!leaving || run.task().step().spec().longRunning()) {
			return;
		}
		long stays = worker.leavesMillis() - now;
		boolean saves = run.task().step().spec().savesCheckpoints();
		boolean going = stays <= this.state.policy().stopTimeoutMillis() + ORDER_WAY_MILLIS;
		boolean move = saves ? going && run.leftMillis(now) > stays : cannotEndWithin(stays, now, run);
		if (move) {
			this.state.explain("run-moves", "task", run.task().id(), "run", run.number(), "worker", worker.target(),
					"why", "the worker leaves", "staysMillis", stays, "leftMillis", run.leftMillis(now));
			this.ledger.stop(run, WorkOutcome.WORKER_LEFT);
		}
	}

	// Workers often stay a little longer than they say, and what is left is known to
	// about
	// a percent of the whole.
	private static boolean cannotEndWithin(long stays, long now, Run run) {
		return run.leftMillis(now) > stays + stays / 4 + LEAVES_LATE_MILLIS;
	}

	// A worker on which tasks stand still looks busy and healthy. A task that moves takes
	// a
	// tenth of a second for a percent; one that was seen at the same percentage for
	// seconds is better begun elsewhere. A gang stands still as long as a member is
	// missing, and a member that has done its part waits at its end for the slowest one:
	// stopping it would throw the work of all of them away.
	private void leaveStandstill(long now, Run run) {
		boolean still = run.running() && !run.stopping() && !run.atItsEnd() && run.stillMillis() >= STANDSTILL_MILLIS;
		if (!still || !this.state.has(SchedulerFeature.STOP_STANDSTILL) || run.task().step().spec().longRunning()
				|| !wholeGangRuns(run)) {
			return;
		}
		this.state.explain("run-stands-still", "task", run.task().id(), "run", run.number(), "worker",
				run.worker().target(), "percent", run.percent(), "millis", run.stillMillis());
		run.worker().health().restUntil(now + STANDSTILL_REST_MILLIS);
		this.ledger.stop(run, WorkOutcome.STOOD_STILL);
	}

	private static boolean wholeGangRuns(Run run) {
		StepState step = run.task().step();
		return !step.spec().gangScheduled()
				|| step.tasks().stream().allMatch((task) -> task.openRun(run.number()).map(Run::running).orElse(false));
	}

	private Worker currentLife(WorkerReport report) {
		WorkerIncarnation life = report.worker().incarnation();
		Worker known = this.state.workers().get(report.target());
		if (known != null && known.life().equals(life)) {
			known.heard(this.state.steadyMillis());
			return known;
		}
		this.state.workers().remove(report.target());
		Worker next = this.state.worker(report.target(), life);
		next.obeys(report.epoch());
		this.state.explain("worker-known", "worker", report.target(), "life", life, "zone", report.worker().zone(),
				"rack", report.worker().rack(), "capacity", report.worker().capacity());
		if (known != null) {
			this.state.explain("worker-reborn", "worker", known.target(), "life", life, "before", known.life(), "runs",
					known.runs().size());
			List.copyOf(known.runs()).forEach((run) -> outlived(run, next));
		}
		return next;
	}

	// What ran in the former life is gone. But a call to begin a run may reach the worker
	// seconds after it was given up, and a worker that came back under its name would
	// carry it out, so that the task would run twice. The order to stop it there settles
	// that: a run that was stopped is refused from then on.
	private void outlived(Run run, Worker next) {
		if (run.state() == Run.State.KEEPING) {
			run.worker().remove(run);
			this.ledger.lose(run, WorkOutcome.WORKER_LOST);
			return;
		}
		run.moveTo(next);
		run.stop(WorkOutcome.WORKER_LOST);
		this.ledger.orderStop(run);
	}

	private void running(Worker worker, WorkerReport.Running running) {
		Optional<Run> known = find(worker, running.task(), running.run());
		if (known.isEmpty()) {
			this.state.explain("run-unwanted", "task", running.task(), "run", running.run(), "worker", worker.target());
			this.state.emit(new WorkflowCommand.StopRun(worker.target(), worker.life(), running.task(), running.run()));
			return;
		}
		Run run = known.get();
		run.seenRunning(this.state.steadyMillis(), running.progressPercent());
		run.seenSaved(running.checkpoint(), this.state.policy().checkpointing().intervalMillis());
		run.task().checkpoint(running.checkpoint());
		if (!run.task().step().spec().gangScheduled()) {
			run.atWork(this.state.steadyMillis());
		}
		else if (wholeGangRuns(run)) {
			gangIsWhole(run);
		}
		outlivedCrashes(run);
	}

	// A service is under many crashes in the end, none of them its fault.
	private void outlivedCrashes(Run run) {
		TaskState task = run.task();
		if (task.crashes().isEmpty()) {
			return;
		}
		long worked = run.workedMillis(this.state.steadyMillis());
		if (worked > task.crashes().dangerousMillis()) {
			run.worker().endProbation(run);
		}
		if (task.step().spec().longRunning() && worked >= SOUND_MILLIS) {
			task.crashes().clear();
			this.state.writeAhead().changed(task.step().job());
		}
	}

	private void gangIsWhole(Run run) {
		long now = this.state.steadyMillis();
		for (TaskState task : run.task().step().tasks()) {
			task.openRun(run.number()).ifPresent((member) -> member.atWork(now));
		}
	}

	private void crashed(List<WorkerReport.Crashed> runs) {
		for (CrashBlame.Found found : CrashBlame.judge(runs)) {
			task(found.task()).ifPresent((task) -> this.ledger.crashed(task, found.crash()));
		}
	}

	private void ended(Worker worker, List<WorkerReport.Ended> ends) {
		long before = worker.seenEnd();
		for (WorkerReport.Ended end : ends) {
			if (end.sequence() <= before) {
				continue;
			}
			worker.seenEnd(end.sequence());
			find(worker, end.task(), end.run())
				.ifPresent((run) -> this.ledger.close(run, end.outcome(), end.checkpoint()));
		}
		long upTo = worker.seenEnd();
		if (upTo > before) {
			this.state.writeAhead().afterKept(() -> acknowledge(worker, upTo));
		}
		else if (ends.stream().anyMatch((end) -> end.sequence() <= worker.keptEnd())) {
			acknowledge(worker, worker.keptEnd());
		}
	}

	// An acknowledgement is lost with the connection, or with a target that restarts
	// before its worker has heard it. The worker then lists the end again.
	private void acknowledge(Worker worker, long upTo) {
		worker.keptEnd(upTo);
		this.state.emit(new WorkflowCommand.AcknowledgeEnds(worker.target(), worker.life(), upTo));
	}

	// What an earlier term ordered and the worker neither runs nor lists as ended was
	// never begun: the worker obeys this epoch now and refuses whatever still comes of an
	// earlier one. Only the order to stop it settles that for certain.
	private void settleInherited(Worker worker, WorkerReport report) {
		Set<String> running = new HashSet<>();
		report.running().forEach((run) -> running.add(run.task() + "/" + run.run()));
		for (Run run : List.copyOf(worker.runs())) {
			boolean absent = !running.contains(run.task().id() + "/" + run.number());
			if (run.state() == Run.State.INHERITED && absent) {
				this.ledger.stop(run, WorkOutcome.UNSETTLED);
			}
		}
	}

	private Optional<Run> find(Worker worker, TaskId id, int number) {
		return task(id).flatMap((task) -> task.openRun(number)).filter((run) -> run.worker() == worker);
	}

	private Optional<TaskState> task(TaskId id) {
		JobState job = this.state.jobs().get(id.job());
		StepState step = (job != null) ? job.step(id.occurrence(), id.step()) : null;
		if (step == null || id.index() < 0 || id.index() >= step.tasks().size()) {
			return Optional.empty();
		}
		return Optional.of(step.tasks().get(id.index()));
	}

}
