package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.WorkflowCommand;

/**
 * Removes ended jobs that callers no longer query: each new holder of the term reads all
 * jobs again, and the store would fill up. Mutable; owned by the scheduler.
 */
final class EndedJobCleanup {

	/**
	 * Interval between two searches for removable jobs; a removal costs as much as any
	 * other write.
	 */
	private static final long SWEEP_INTERVAL_MILLIS = 10_000;

	/**
	 * Maximum number of jobs in one removal: a job has up to two rows, and a transaction
	 * takes a hundred.
	 */
	private static final int MAX_JOBS_PER_REMOVAL = 40;

	/**
	 * Time in milliseconds for which a repeated submission that was delayed in transit
	 * must still find the job. Such calls arrive some seconds late.
	 */
	private static final long LATE_RETRY_MILLIS = 60_000;

	private final SchedulerState state;

	private final Map<String, Long> endedSinceMillis = new HashMap<>();

	private long nextSweepMillis;

	EndedJobCleanup(SchedulerState state) {
		this.state = state;
	}

	void clear() {
		this.endedSinceMillis.clear();
	}

	void tick() {
		long now = this.state.steadyMillis();
		if (now < this.nextSweepMillis) {
			return;
		}
		this.nextSweepMillis = now + SWEEP_INTERVAL_MILLIS;
		List<String> removable = new ArrayList<>();
		for (JobState job : this.state.jobs().values()) {
			if (removable.size() < MAX_JOBS_PER_REMOVAL && isRemovable(now, job)) {
				removable.add(job.id());
			}
		}
		if (!removable.isEmpty()) {
			this.state.emit(new WorkflowCommand.DeleteJobs(removable));
		}
	}

	void onRemoved(List<String> jobs) {
		for (String job : jobs) {
			this.state.jobs().remove(job);
			this.endedSinceMillis.remove(job);
		}
		this.state.explain("jobs-forgotten", "jobs", jobs.size(), "known", this.state.jobs().size());
	}

	// The time at which a job ended is not persisted. After a change of holder the
	// retention time starts again, so a job may be kept longer but never shorter.
	private boolean isRemovable(long now, JobState job) {
		if (!job.persistedPhase().isTerminal() || !job.openRuns().isEmpty()) {
			return false;
		}
		long since = this.endedSinceMillis.computeIfAbsent(job.id(), (id) -> now);
		return now - since >= this.state.policy().endedJobRetentionMillis() + LATE_RETRY_MILLIS;
	}

}
