package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The progress of a job as it is kept. Immutable. What is not named is as it was at the
 * beginning: no step done, no run made.
 *
 * @param job the job
 * @param phase where it stands
 * @param doneSteps steps whose tasks are all done
 * @param tasks tasks of other steps that have a history, and any task with an open run
 */
public record JobRecord(String job, JobPhase phase, List<StepKey> doneSteps, List<TaskRecord> tasks) {

	/** Fewer never end a job. */
	private static final int MIN_CRASHES_FOR_FAILURE = 2;

	public JobRecord {
		doneSteps = List.copyOf(doneSteps);
		tasks = List.copyOf(tasks);
	}

	/**
	 * Why the job was given up, for its caller.
	 * @return the reason and its remedy, or empty for a job that was not
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
	 * A step of one occurrence.
	 *
	 * @param occurrence the occurrence
	 * @param step the step
	 */
	public record StepKey(int occurrence, int step) {
	}

	/**
	 * What is kept of a task.
	 *
	 * @param step the step of the occurrence
	 * @param index the task's number
	 * @param lastRun the number of its last run, 0 for none
	 * @param failures how often it failed
	 * @param done whether it is done
	 * @param checkpoint its last checkpoint, or empty
	 * @param openRuns its runs that may still be at work
	 * @param lastFailedRun of a gang's first task: the last run of the gang whose failure
	 * is counted, 0 for none
	 * @param crashes its runs under which a worker crashed
	 */
	public record TaskRecord(StepKey step, int index, int lastRun, int failures, boolean done, String checkpoint,
			List<OpenRun> openRuns, int lastFailedRun, List<Crash> crashes) {

		public TaskRecord {
			openRuns = List.copyOf(openRuns);
			crashes = List.copyOf(crashes);
		}

		public TaskRecord(StepKey step, int index, int lastRun, int failures, boolean done, String checkpoint,
				List<OpenRun> openRuns) {
			this(step, index, lastRun, failures, done, checkpoint, openRuns, 0, List.of());
		}

	}

	/**
	 * A run under which a worker crashed, or may have.
	 *
	 * @param run the run's number
	 * @param incarnation the life of the worker that ended
	 * @param confirmed whether the process beside the worker saw the run at work there
	 * @param observedRunMillis how long the run was at work at least, in milliseconds
	 * @param blamePercent how much of the blame falls on its step, by what else was at
	 * work there; 100 where nothing else was
	 */
	public record Crash(int run, WorkerIncarnation incarnation, boolean confirmed, long observedRunMillis,
			int blamePercent) {

		/**
		 * A run that counts like a crash though none was seen.
		 * @param run the run's number
		 * @param incarnation the life of the worker
		 * @return the crash that there may have been
		 */
		public static Crash unconfirmed(int run, WorkerIncarnation incarnation) {
			return new Crash(run, incarnation, false, 0, 0);
		}

	}

	/**
	 * A run that may be at work.
	 *
	 * @param number its number
	 * @param target the process beside its worker
	 * @param incarnation the life of the worker in which it may have begun
	 * @param epoch the epoch under which it was ordered
	 */
	public record OpenRun(int number, String target, WorkerIncarnation incarnation, long epoch) {
	}

}
