package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.workflow.JobRecord.StepKey;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.speed.StepRunTimes;

/**
 * A step of one occurrence of a job. Mutable; owned by the scheduler.
 */
final class StepState {

	/** Run time that is assumed when there is no estimate, in milliseconds. */
	private static final long DEFAULT_RUN_MILLIS = 10_000;

	private final JobState job;

	private final StepKey key;

	private final Step spec;

	private final List<TaskState> tasks;

	private long expectedMillis;

	private long criticalPathMillis;

	private long totalRunMillis;

	private int observedRunCount;

	/** Created with the first run time, because speeds are learnt only on demand. */
	private StepRunTimes runTimes;

	private boolean done;

	/**
	 * The last run of a gang whose failure was counted; failures of other members of that
	 * run are not counted again.
	 */
	private int failedRun;

	private long notBeforeMillis = Long.MIN_VALUE;

	private final RackWaitTimer rackWaitTimer = new RackWaitTimer();

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

	// If one member of a gang is done, all members are done.
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
	 * Counts a failure: for the task, or once for a run of the whole gang.
	 * @param task the task
	 * @param run the run that failed
	 * @return the number of counted failures
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
	 * Returns the task on which the failures of a task are counted.
	 * @param task the task
	 * @return the task itself, or the first task of its gang
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
	 * Returns the last run of any of its tasks; the members of a gang share their run
	 * numbers.
	 * @return the number, 0 if no task has run
	 */
	int lastRun() {
		int last = 0;
		for (TaskState task : this.tasks) {
			last = Math.max(last, task.lastRun());
		}
		return last;
	}

	/**
	 * Whether each member of a gang has an open run in the gang's last run.
	 * @return whether no member has ended
	 */
	boolean isGangComplete() {
		int run = lastRun();
		return this.tasks.stream().allMatch((task) -> task.openRun(run).isPresent());
	}

	/**
	 * Returns the checkpoint from which a gang resumes; the checkpoint of any member is
	 * valid for all.
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
	 * Returns the expected run time of one of its tasks.
	 * @return milliseconds, 0 if nothing is known
	 */
	long expectedMillis() {
		return this.expectedMillis;
	}

	/**
	 * Returns the expected run time of one of its tasks, or a default if nothing is
	 * known.
	 * @return milliseconds
	 */
	long runMillisOrDefault() {
		return (this.expectedMillis > 0) ? this.expectedMillis : DEFAULT_RUN_MILLIS;
	}

	/**
	 * Returns the run times of its tasks on different workers.
	 * @return the run times observed in this term
	 */
	StepRunTimes runTimes() {
		if (this.runTimes == null) {
			this.runTimes = new StepRunTimes();
		}
		return this.runTimes;
	}

	/**
	 * Returns the estimated length of the critical path from the beginning of this step.
	 * @return milliseconds
	 */
	long criticalPathMillis() {
		return this.criticalPathMillis;
	}

	/**
	 * Records a task that ran from its beginning to its end.
	 * @param millis its run time
	 */
	void recordRunTime(long millis) {
		this.totalRunMillis += millis;
		this.observedRunCount++;
	}

	// Tasks of one step are alike, so the run time of an ended task is more accurate than
	// any estimate.
	void updateEstimate(RunTimeEstimator estimator, long followerPathMillis) {
		this.expectedMillis = (this.observedRunCount > 0) ? this.totalRunMillis / this.observedRunCount
				: estimator.expected(this.job.workflow().queue(), this.spec.estimateMillis());
		this.criticalPathMillis = this.expectedMillis + followerPathMillis;
	}

	/**
	 * Returns the number of tasks that are not done.
	 * @return the number of tasks
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

	RackWaitTimer rackWaitTimer() {
		return this.rackWaitTimer;
	}

}
