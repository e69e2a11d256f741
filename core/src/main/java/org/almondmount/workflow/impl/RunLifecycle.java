package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.workflow.JobFailure;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.JobRecord.Crash;
import org.almondmount.workflow.JobRecord.FailedAttempt;
import org.almondmount.workflow.RunOutcome;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.WorkflowCommand;

/**
 * Opens and closes runs, and applies the consequences to their tasks and jobs. Owned by
 * the scheduler.
 */
final class RunLifecycle {

	/** Delay before a failed task is retried, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 100;

	private final SchedulerState state;

	private final WorkerHealthTracker workerHealth;

	RunLifecycle(SchedulerState state) {
		this.state = state;
		this.workerHealth = new WorkerHealthTracker(state);
	}

	WorkerHealthTracker workerHealth() {
		return this.workerHealth;
	}

	/**
	 * Opens a run for each task of a unit; the start commands are sent once the runs are
	 * persisted.
	 * @param unit the unit
	 * @param placement the worker of each task
	 */
	void open(WorkUnit unit, Map<TaskState, Worker> placement) {
		int number = unit.gang() ? unit.step().lastRun() + 1 : unit.tasks().get(0).lastRun() + 1;
		List<Run> runs = new ArrayList<>();
		placement.forEach((task, worker) -> {
			Run run = new Run(task, number, worker, this.state.epoch(), Run.State.PERSISTING);
			task.recordRunNumber(number);
			task.openRuns().add(run);
			worker.add(run);
			beginProbationIfSuspect(run);
			runs.add(run);
		});
		JobState job = unit.step().job();
		if (job.phase() == JobPhase.QUEUED) {
			job.phase(JobPhase.RUNNING);
		}
		this.state.writeAheadBuffer().markChanged(job);
		this.state.writeAheadBuffer().afterPersisted(() -> startOrClose(unit.step(), runs));
		this.state.explain("run-chosen", "job", job.id(), "occurrence", unit.step().occurrence(), "step",
				unit.step().number(), "run", number, "tasks", runs.size(), "workers",
				placement.values().stream().map(Worker::target).distinct().toList());
	}

	/**
	 * Puts a run on probation if its task is a suspect.
	 * @param run the run
	 */
	void beginProbationIfSuspect(Run run) {
		if (this.state.has(SchedulerFeature.SET_SUSPECTS_APART) && run.task().crashes().isSuspect()) {
			run.worker().beginProbation(run);
		}
	}

	/**
	 * Closes a run that has certainly ended.
	 * @param run the run
	 * @param outcome how it ended
	 * @param checkpoint its last checkpoint, or empty
	 */
	void close(Run run, RunOutcome outcome, String checkpoint) {
		TaskState task = run.task();
		StepState step = task.step();
		JobState job = step.job();
		RunWorkSummary work = RunWorkSummary.of(run, outcome, checkpoint, this.state.steadyMillis());
		run.worker().remove(run);
		task.openRuns().remove(run);
		task.checkpoint(checkpoint);
		this.state.writeAheadBuffer().markChanged(job);
		this.state.explain("run-ended", "job", job.id(), "task", task.id(), "run", run.number(), "how", outcome,
				"worker", run.worker().target(), "life", run.worker().incarnation(), "cause", work.cause(),
				"keptCoreSeconds", Math.round(work.keptCoreSeconds()), "lostCoreSeconds",
				Math.round(work.lostCoreSeconds()), "waitedCoreSeconds", Math.round(work.waitedCoreSeconds()));
		account(work);
		if (outcome.done()) {
			this.workerHealth.recordSuccess(run);
			recordRunTime(run);
			taskDone(step, task);
		}
		else if (outcome.countsAsAttempt()) {
			taskFailed(run);
		}
		if (!outcome.done() && outcome != RunOutcome.LOST) {
			countRunAfterCrashes(run);
		}
		failIfExhausted(step.failureCountOwner(task));
		if (step.spec().gangScheduled() && !step.done()) {
			stopAll(step, work.cause());
		}
	}

	/**
	 * Closes a run that has certainly ended, although its worker did not report the end.
	 * @param run the run
	 * @param cause the reason for the loss of its work, unless a reason is already
	 * recorded
	 */
	void closeLost(Run run, WorkOutcome cause) {
		run.recordLossCause(cause);
		run.lostIncarnation()
			.ifPresent((incarnation) -> recordCrash(run.task(), Crash.unconfirmed(run.number(), incarnation)));
		close(run, RunOutcome.LOST, "");
	}

	/**
	 * Stops a run.
	 * @param run the run
	 * @param cause the reason for the loss of its work
	 */
	void stop(Run run, WorkOutcome cause) {
		if (run.stopping()) {
			return;
		}
		run.markStopping(cause);
		if (run.state() != Run.State.PERSISTING) {
			sendStop(run);
		}
	}

	/**
	 * Stops the obsolete runs of a job: all open runs if the job was cancelled or has
	 * failed, and the members of incomplete gangs. The persisted state shows that these
	 * runs are no longer wanted, but not that their workers know it: the stop commands of
	 * an earlier term may never have arrived. If one member of a gang is done, all
	 * members are done.
	 * @param job a job of an earlier term
	 */
	void stopObsolete(JobState job) {
		if (job.phase() == JobPhase.COMPLETED) {
			return;
		}
		if (job.over()) {
			WorkOutcome cause = (job.phase() == JobPhase.FAILED) ? WorkOutcome.JOB_FAILED : WorkOutcome.CANCELLED;
			job.openRuns().forEach((run) -> stop(run, cause));
			return;
		}
		for (StepState step : job.steps()) {
			if (step.spec().gangScheduled() && !step.done() && !step.isGangComplete()) {
				stopAll(step, WorkOutcome.GANG_BROKEN);
			}
		}
	}

	/**
	 * Sends or resends the stop command of a run.
	 * @param run the run
	 */
	void sendStop(Run run) {
		run.stopSent(this.state.steadyMillis());
		this.state.emit(new WorkflowCommand.StopRun(run.worker().target(), run.worker().incarnation(), run.task().id(),
				run.number()));
	}

	/**
	 * Sends or resends the start command of a run.
	 * @param run the run
	 */
	void sendStart(Run run) {
		run.startSent(this.state.steadyMillis());
		StepState step = run.task().step();
		String checkpoint = step.spec().gangScheduled() ? step.gangCheckpoint() : run.task().checkpoint();
		this.state.emit(new WorkflowCommand.StartRun(run.worker().target(), run.worker().incarnation(), run.task().id(),
				run.number(), step.job().workflow().program(), checkpoint, run.placementCapacity()));
	}

	// While the runs were being persisted, the zone of a worker may have been taken out,
	// or the worker may have started to drain or have reported less capacity. Nothing has
	// been sent yet, so the runs can be closed as never started. Either all members of a
	// gang are started or none.
	private void startOrClose(StepState step, List<Run> runs) {
		boolean startable = !step.job().over();
		for (Run run : runs) {
			startable &= !run.stopping() && run.task().openRuns().contains(run) && this.state.canStartOn(run.worker())
					&& run.placementCapacity().fitsIn(run.worker().capacity());
		}
		for (Run run : runs) {
			if (!run.task().openRuns().contains(run)) {
				continue;
			}
			if (startable) {
				sendStart(run);
			}
			else {
				closeLost(run, WorkOutcome.UNSETTLED);
			}
		}
	}

	/**
	 * Counts a crash against a task that was running on the worker, once for each run.
	 * @param task the task
	 * @param crash the crash
	 */
	void recordCrash(TaskState task, Crash crash) {
		JobState job = task.step().job();
		if (job.over() || task.done() || crash.run() > task.lastRun()
				|| !task.crashes().add(this.state.steadyMillis(), crash)) {
			return;
		}
		this.state.writeAheadBuffer().markChanged(job);
		this.state.explain("task-crashed-worker", "job", job.id(), "task", task.id(), "run", crash.run(), "life",
				crash.incarnation(), "seen", crash.confirmed(), "ageMillis", crash.observedRunMillis(), "blamePercent",
				crash.blamePercent(), "crashes", task.crashes().crashes().size(), "suspect",
				task.crashes().isSuspect());
		giveUpIfCrashLimitReached(task);
	}

	private void countRunAfterCrashes(Run run) {
		TaskState task = run.task();
		if (task.crashes().countRun(this.state.steadyMillis(), run.number(), run.worker().incarnation())) {
			giveUpIfCrashLimitReached(task);
		}
	}

	private void giveUpIfCrashLimitReached(TaskState task) {
		if (!task.step().job().over() && task.crashes().shouldGiveUp()) {
			failJob(task, JobFailure.WORKERS_CRASHED, "lives",
					task.crashes().crashes().stream().map(Crash::incarnation).toList());
		}
	}

	/**
	 * Fails the jobs that have used up the attempts that their queues currently allow.
	 */
	void failExhaustedJobs() {
		for (JobState job : this.state.jobs().values()) {
			for (StepState step : job.steps()) {
				step.tasks().forEach(this::failIfExhausted);
			}
		}
	}

	// An open run started while attempts were left and may still succeed.
	private void failIfExhausted(TaskState task) {
		if (task.failures() > 0 && task.idle() && !task.done()) {
			failIfExhausted(task.step().job(), task, task.failures());
		}
	}

	private void recordRunTime(Run run) {
		StepState step = run.task().step();
		if (!run.isObservedFromStart() || step.spec().longRunning()
				|| !this.state.has(SchedulerFeature.LEARN_RUN_TIMES)) {
			return;
		}
		long millis = this.state.steadyMillis() - run.startedMillis();
		step.recordRunTime(millis);
		this.state.runTimeEstimator().addSample(step.job().workflow().queue(), step.spec().estimateMillis(), millis);
	}

	private void taskDone(StepState step, TaskState task) {
		JobState job = step.job();
		if (step.spec().longRunning()) {
			return;
		}
		step.markTaskDone(task);
		if (!job.over() && job.allDone()) {
			job.phase(JobPhase.COMPLETED);
			this.state.explain("job-completed", "job", job.id());
		}
	}

	private void taskFailed(Run run) {
		StepState step = run.task().step();
		JobState job = step.job();
		this.workerHealth.recordFailure(run);
		if (step.spec().longRunning()) {
			return;
		}
		int failures = step.countFailure(run.task(), run.number());
		recordFailedAttempt(run);
		step.notBefore(this.state.steadyMillis() + RETRY_DELAY_MILLIS);
		failIfExhausted(job, run.task(), failures);
	}

	// A new holder may receive the report of a failure before it has read the queue. The
	// next placement forgets the attempt if the queue has no spare ones.
	private void recordFailedAttempt(Run run) {
		long now = this.state.steadyMillis();
		StepState step = run.task().step();
		boolean spreads = this.state.queueOf(step.job())
			.map((queue) -> RetryPlanner.spreadsAttempts(this.state, queue))
			.orElseGet(() -> this.state.policy().isEnabled(SchedulerFeature.SPREAD_ATTEMPTS));
		if (spreads) {
			step.failureCountOwner(run.task())
				.attempts()
				.add(now, new FailedAttempt(run.number(), run.worker().incarnation(), run.workedMillis(now)));
		}
	}

	// A new holder may receive the report of a failure before it has read the queue that
	// sets the number of attempts. The job is checked once the queue is known.
	private void failIfExhausted(JobState job, TaskState task, int failures) {
		Optional<JobQueue> queue = this.state.queueOf(job);
		if (job.over() || queue.isEmpty() || failures < queue.get().maxAttempts()) {
			return;
		}
		failJob(task, JobFailure.ATTEMPTS_USED_UP, "attempts", failures);
	}

	private void failJob(TaskState task, JobFailure failure, String evidenceKey, Object evidence) {
		JobState job = task.step().job();
		job.phase(JobPhase.FAILED);
		this.state.writeAheadBuffer().markChanged(job);
		this.state.explain("job-failed", "job", job.id(), "task", task.id(), "why", failure, evidenceKey, evidence);
		this.state.emit(new WorkflowCommand.CountFailure(failure));
		job.openRuns().forEach((open) -> stop(open, WorkOutcome.JOB_FAILED));
	}

	// The worker ends the other members by itself, but a member whose start command is
	// still in transit would wait for them until the gang timeout.
	private void stopAll(StepState step, WorkOutcome cause) {
		for (TaskState task : step.tasks()) {
			List.copyOf(task.openRuns()).forEach((run) -> stop(run, cause));
		}
	}

	private void account(RunWorkSummary work) {
		account(WorkOutcome.KEPT, work.keptCoreSeconds());
		account(work.cause(), work.lostCoreSeconds());
		account(WorkOutcome.GANG_WAITED, work.waitedCoreSeconds());
	}

	private void account(WorkOutcome outcome, double coreSeconds) {
		if (coreSeconds > 0) {
			this.state.emit(new WorkflowCommand.AccountWork(outcome, coreSeconds));
		}
	}

}
