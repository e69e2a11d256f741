package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.TaskId;

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

	boolean hasRun() {
		return this.lastRun > 0;
	}

	TaskRecord toRecord() {
		return new TaskRecord(this.step.key(), this.index, this.lastRun, this.failures, this.done, this.checkpoint,
				this.openRuns.stream().map(Run::toRecord).toList(), (this.index == 0) ? this.step.failedRun() : 0,
				this.crashes.crashes());
	}

	void restore(TaskRecord persisted) {
		this.lastRun = persisted.lastRun();
		this.failures = persisted.failures();
		this.done = persisted.done();
		this.checkpoint = persisted.checkpoint();
		this.crashes.restore(persisted.crashes());
		if (this.index == 0) {
			this.step.restoreFailedRun(persisted.lastFailedRun());
		}
	}

}
