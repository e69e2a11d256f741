package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.attempt.AttemptHistory;

/**
 * The state of a task. Mutable; owned by the scheduler.
 */
final class TaskState {

	private final StepState step;

	private final int index;

	private final List<Run> openRuns = new ArrayList<>(1);

	private int lastRun;

	private int failures;

	private boolean done;

	private String checkpoint = "";

	private final CrashHistory crashes = new CrashHistory();

	/** Created with the first failure, because most tasks never fail. */
	private Optional<AttemptHistory> attempts = Optional.empty();

	TaskState(StepState step, int index) {
		this.step = step;
		this.index = index;
	}

	StepState step() {
		return this.step;
	}

	int index() {
		return this.index;
	}

	TaskId id() {
		return new TaskId(this.step.job().id(), this.step.occurrence(), this.step.number(), this.index);
	}

	List<Run> openRuns() {
		return this.openRuns;
	}

	Optional<Run> openRun(int number) {
		for (Run run : this.openRuns) {
			if (run.number() == number) {
				return Optional.of(run);
			}
		}
		return Optional.empty();
	}

	boolean idle() {
		return this.openRuns.isEmpty();
	}

	int lastRun() {
		return this.lastRun;
	}

	void recordRunNumber(int run) {
		this.lastRun = Math.max(this.lastRun, run);
	}

	int failures() {
		return this.failures;
	}

	void countFailure() {
		this.failures++;
	}

	boolean done() {
		return this.done;
	}

	void markDone() {
		this.done = true;
	}

	String checkpoint() {
		return this.checkpoint;
	}

	void checkpoint(String next) {
		if (!next.isEmpty()) {
			this.checkpoint = next;
		}
	}

	/**
	 * Returns the worker crashes during runs of this task.
	 * @return the crash history
	 */
	CrashHistory crashes() {
		return this.crashes;
	}

	/**
	 * Returns where the counted failures of this task occurred; for the first task of a
	 * gang, those of all members.
	 * @return the attempt history
	 */
	AttemptHistory attempts() {
		if (this.attempts.isEmpty()) {
			this.attempts = Optional.of(new AttemptHistory());
		}
		return this.attempts.get();
	}

	boolean hasRun() {
		return this.lastRun > 0;
	}

	/**
	 * Returns the record to store.
	 * @param maxFailedAttempts the maximum number of failed attempts in the record
	 * @return the record
	 */
	TaskRecord toRecord(int maxFailedAttempts) {
		return new TaskRecord(this.step.key(), this.index, this.lastRun, this.failures, this.done, this.checkpoint,
				this.openRuns.stream().map(Run::toRecord).toList(), (this.index == 0) ? this.step.failedRun() : 0,
				this.crashes.crashes(),
				this.attempts.map((history) -> history.latest(maxFailedAttempts)).orElse(List.of()));
	}

	void restore(TaskRecord persisted) {
		this.lastRun = persisted.lastRun();
		this.failures = persisted.failures();
		this.done = persisted.done();
		this.checkpoint = persisted.checkpoint();
		this.crashes.restore(persisted.crashes());
		if (!persisted.failedAttempts().isEmpty()) {
			attempts().restore(persisted.failedAttempts());
		}
		if (this.index == 0) {
			this.step.restoreFailedRun(persisted.lastFailedRun());
		}
	}

}
