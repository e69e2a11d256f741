package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The stored progress of a job. Immutable. A step or task that is not listed is in its
 * initial state: not done and without runs.
 *
 * @param job the identifier of the job
 * @param phase the phase of the job
 * @param doneSteps the steps whose tasks are all done
 * @param tasks the tasks of the other steps that have runs or failures, and every task
 * with an open run
 * @param declaration the latest known declaration of the job's queue, empty if it is the
 * one under which the job was accepted
 */
public record JobRecord(String job, JobPhase phase, List<StepKey> doneSteps, List<TaskRecord> tasks,
		Optional<QueueDeclaration> declaration) {

	/** A job never fails for fewer confirmed crashes of one task. */
	private static final int MIN_CRASHES_FOR_FAILURE = 2;

	public JobRecord {
		doneSteps = List.copyOf(doneSteps);
		tasks = List.copyOf(tasks);
	}

	public JobRecord(String job, JobPhase phase, List<StepKey> doneSteps, List<TaskRecord> tasks) {
		this(job, phase, doneSteps, tasks, Optional.empty());
	}

	/**
	 * Returns why the job failed, as a message for its caller.
	 * @return the reason and the remedy, or empty if the job has not failed
	 */
	public Optional<String> failureMessage() {
		if (this.phase != JobPhase.FAILED) {
			return Optional.empty();
		}
		for (TaskRecord task : this.tasks) {
			if (task.crashes().stream().filter(Crash::confirmed).count() >= MIN_CRASHES_FOR_FAILURE) {
				return Optional.of(crashMessage(task));
			}
		}
		return Optional.of(JobFailure.ATTEMPTS_USED_UP.message(""));
	}

	private String crashMessage(TaskRecord task) {
		String workers = task.crashes()
			.stream()
			.filter(Crash::confirmed)
			.map((crash) -> crash.incarnation().worker())
			.distinct()
			.collect(Collectors.joining(", "));
		TaskId id = new TaskId(this.job, task.step().occurrence(), task.step().step(), task.index());
		return JobFailure.WORKERS_CRASHED.message(" " + id + ": " + workers);
	}

	/**
	 * Identifies a step within one occurrence of the job.
	 *
	 * @param occurrence the number of the occurrence
	 * @param step the number of the step
	 */
	public record StepKey(int occurrence, int step) {
	}

	/**
	 * The stored state of a task.
	 *
	 * @param step the step that the task belongs to
	 * @param index the number of the task within its step
	 * @param lastRun the number of its last run, 0 for none
	 * @param failures the number of its failed runs
	 * @param done whether the task is done
	 * @param checkpoint its last checkpoint, or empty
	 * @param openRuns its runs that may still be active
	 * @param lastFailedRun for the first task of a gang, the last run of the gang whose
	 * failure has been counted; 0 for none
	 * @param crashes its runs during which a worker crashed, or may have crashed
	 * @param failedAttempts where its counted failures occurred; for a gang, those of all
	 * members are listed with the first task
	 */
	public record TaskRecord(StepKey step, int index, int lastRun, int failures, boolean done, String checkpoint,
			List<OpenRun> openRuns, int lastFailedRun, List<Crash> crashes, List<FailedAttempt> failedAttempts) {

		public TaskRecord {
			openRuns = List.copyOf(openRuns);
			crashes = List.copyOf(crashes);
			failedAttempts = List.copyOf(failedAttempts);
		}

		public TaskRecord(StepKey step, int index, int lastRun, int failures, boolean done, String checkpoint,
				List<OpenRun> openRuns, int lastFailedRun, List<Crash> crashes) {
			this(step, index, lastRun, failures, done, checkpoint, openRuns, lastFailedRun, crashes, List.of());
		}

		public TaskRecord(StepKey step, int index, int lastRun, int failures, boolean done, String checkpoint,
				List<OpenRun> openRuns) {
			this(step, index, lastRun, failures, done, checkpoint, openRuns, 0, List.of());
		}

	}

	/**
	 * A run during which a worker crashed, or may have crashed.
	 *
	 * @param run the number of the run
	 * @param incarnation the incarnation of the worker that ended
	 * @param confirmed whether the target beside the worker saw the run active there
	 * @param observedRunMillis a lower bound of how long the run was active, in
	 * milliseconds
	 * @param blamePercent the share of the blame that falls on the step of this run,
	 * given the other runs on the worker; 100 if there were none
	 */
	public record Crash(int run, WorkerIncarnation incarnation, boolean confirmed, long observedRunMillis,
			int blamePercent) {

		/**
		 * Returns the record of a possible crash, which counts like a crash although none
		 * was observed.
		 * @param run the number of the run
		 * @param incarnation the incarnation of the worker
		 * @return the unconfirmed crash
		 */
		public static Crash unconfirmed(int run, WorkerIncarnation incarnation) {
			return new Crash(run, incarnation, false, 0, 0);
		}

	}

	/**
	 * A run that failed on its worker and counts as an attempt.
	 *
	 * @param run the number of the run
	 * @param incarnation the incarnation of the worker on which it failed
	 * @param workedMillis how long it had worked, in milliseconds
	 */
	public record FailedAttempt(int run, WorkerIncarnation incarnation, long workedMillis) {
	}

	/**
	 * A run that may be active.
	 *
	 * @param number the number of the run
	 * @param target the name of the target beside its worker
	 * @param incarnation the incarnation of the worker in which the run may have started
	 * @param epoch the epoch of the term that sent the start command
	 */
	public record OpenRun(int number, String target, WorkerIncarnation incarnation, long epoch) {
	}

}
