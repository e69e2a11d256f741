package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.workflow.JobRecord.StepKey;
import org.almondmount.workflow.Step;

/**
 * A step of one occurrence of a job. Mutable; owned by the scheduler.
 */
final class StepState {

	private final JobState job;

	private final StepKey key;

	private final Step spec;

	private final List<TaskState> tasks;

	private long expectedMillis;

	private long criticalPathMillis;

	private long totalRunMillis;

	private int observedRunCount;

	private boolean done;

	/** The last run of a gang whose failure is counted; its other members add nothing. */
	private int failedRun;

	private long notBeforeMillis = Long.MIN_VALUE;

	StepState(JobState job, StepKey key, Step spec) {
		this.job = job;
		this.key = key;
		this.spec = spec;
		this.tasks = new ArrayList<>(spec.taskCount());
		for (int index = 0; index < spec.taskCount(); index++) {
			this.tasks.add(new TaskState(this, index));
		}
	}

	JobState job() {
		return this.job;
	}

	StepKey key() {
		return this.key;
	}

	int occurrence() {
		return this.key.occurrence();
	}

	int number() {
		return this.key.step();
	}

	Step spec() {
		return this.spec;
	}

	List<TaskState> tasks() {
		return this.tasks;
	}

	boolean done() {
		return this.done;
	}

	// The end of any member of a gang stands for all of them.
	void markTaskDone(TaskState task) {
		task.markDone();
		if (this.spec.gangScheduled()) {
			this.tasks.forEach(TaskState::markDone);
		}
		this.done = this.tasks.stream().allMatch(TaskState::done);
	}

	void restoreDone() {
		this.tasks.forEach(TaskState::markDone);
		this.done = true;
	}

	/**
	 * Counts a failure: of the task, or once for a run of the whole gang.
	 * @param task the task
	 * @param run the run that failed
	 * @return the failures that count
	 */
	int countFailure(TaskState task, int run) {
		if (!this.spec.gangScheduled()) {
			task.countFailure();
			return task.failures();
		}
		TaskState first = failureCountOwner(task);
		if (this.failedRun != run) {
			this.failedRun = run;
			first.countFailure();
		}
		return first.failures();
	}

	/**
	 * Where the failures of a task are counted.
	 * @param task the task
	 * @return the task itself, or the first one of its gang
	 */
	TaskState failureCountOwner(TaskState task) {
		return this.spec.gangScheduled() ? this.tasks.get(0) : task;
	}

	int failedRun() {
		return this.failedRun;
	}

	void restoreFailedRun(int run) {
		this.failedRun = run;
	}

	/**
	 * The last run of any of its tasks; the members of a gang share their numbers.
	 * @return the number, 0 where nothing was run
	 */
	int lastRun() {
		int last = 0;
		for (TaskState task : this.tasks) {
			last = Math.max(last, task.lastRun());
		}
		return last;
	}

	/**
	 * Whether each member of a gang has its part in the gang's last run.
	 * @return whether none has ended
	 */
	boolean isGangComplete() {
		int run = lastRun();
		return this.tasks.stream().allMatch((task) -> task.openRun(run).isPresent());
	}

	/**
	 * The checkpoint from which a gang goes on: the one of any member is good for all.
	 * @return the checkpoint, or empty
	 */
	String gangCheckpoint() {
		String latest = "";
		for (TaskState task : this.tasks) {
			if (task.checkpoint().compareTo(latest) > 0) {
				latest = task.checkpoint();
			}
		}
		return latest;
	}

	/**
	 * How long one of its tasks will probably run.
	 * @return milliseconds, 0 where nothing is known
	 */
	long expectedMillis() {
		return this.expectedMillis;
	}

	/**
	 * How long the longest chain of work will probably take from the beginning of this
	 * step.
	 * @return milliseconds
	 */
	long criticalPathMillis() {
		return this.criticalPathMillis;
	}

	/**
	 * Takes note of a task that ran from its beginning to its end.
	 * @param millis how long it ran
	 */
	void recordRunTime(long millis) {
		this.totalRunMillis += millis;
		this.observedRunCount++;
	}

	// Tasks of one step are alike, so one that has ended tells more than any guess.
	void updateEstimate(RunTimeEstimator estimator, long followerPathMillis) {
		this.expectedMillis = (this.observedRunCount > 0) ? this.totalRunMillis / this.observedRunCount
				: estimator.expected(this.job.workflow().queue(), this.spec.estimateMillis());
		this.criticalPathMillis = this.expectedMillis + followerPathMillis;
	}

	/**
	 * How many of its tasks are not done.
	 * @return a count
	 */
	long unfinishedTaskCount() {
		return this.tasks.stream().filter((task) -> !task.done()).count();
	}

	boolean hasStartableTask() {
		return this.tasks.stream().anyMatch((task) -> task.idle() && !task.done());
	}

	boolean allIdle() {
		return this.tasks.stream().allMatch(TaskState::idle);
	}

	long notBeforeMillis() {
		return this.notBeforeMillis;
	}

	void notBefore(long millis) {
		this.notBeforeMillis = Math.max(this.notBeforeMillis, millis);
	}

}
