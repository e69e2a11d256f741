package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.almondmount.workflow.SchedulerFeature;

/**
 * Persists the checkpoints that workers report. Mutable; owned by the scheduler.
 * <p>
 * A checkpoint that only the holder and the worker know is lost when both lose power, and
 * the task starts from the beginning however often it had saved its progress. Reported
 * checkpoints are therefore persisted within about a second, jobs with the most
 * unpersisted work first. At most one transaction per second bounds the cost at any fleet
 * size: it replaces the transaction that renews the term.
 */
final class CheckpointPersister {

	/** Minimum interval between two transactions that persist only checkpoints. */
	private static final long INTERVAL_MILLIS = 1_000;

	/**
	 * Maximum number of tasks whose jobs are written in one transaction: a row of 64 KB
	 * holds 2,500 tasks, and a transaction of the store is limited to 1 MB.
	 */
	private static final int MAX_TASKS = 25_000;

	private static final Comparator<JobState> MOST_UNPERSISTED_FIRST = Comparator
		.comparingDouble(JobState::unpersistedCoreSeconds)
		.reversed();

	private final SchedulerState state;

	private long nextDueMillis = Long.MIN_VALUE;

	CheckpointPersister(SchedulerState state) {
		this.state = state;
	}

	void tick() {
		if (this.state.steadyMillis() < this.nextDueMillis || !this.state.has(SchedulerFeature.KEEP_CHECKPOINTS)) {
			return;
		}
		List<JobState> unpersisted = new ArrayList<>();
		for (JobState job : this.state.jobs().values()) {
			if (!job.over() && job.unpersistedCoreSeconds() > 0) {
				unpersisted.add(job);
			}
		}
		if (unpersisted.isEmpty()) {
			return;
		}
		unpersisted.sort(MOST_UNPERSISTED_FIRST);
		persist(unpersisted);
		this.nextDueMillis = this.state.steadyMillis() + INTERVAL_MILLIS;
	}

	private void persist(List<JobState> jobs) {
		int records = 0;
		int tasks = 0;
		for (JobState job : jobs) {
			records++;
			tasks += job.taskCount();
			if (records > WriteAheadBuffer.MAX_RECORDS || (tasks > MAX_TASKS && records > 1)) {
				return;
			}
			this.state.writeAheadBuffer().markChanged(job);
		}
	}

}
