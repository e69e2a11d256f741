package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.almondmount.workflow.WorkflowCommand;

/**
 * Has ended jobs removed once nobody asks for them any more: each is read again by every
 * new holder of the term, and the store would fill up. Mutable; owned by the scheduler.
 */
final class EndedJobCleanup {

	/**
	 * Ended jobs are looked for this often; a removal is paid for like any other write.
	 */
	private static final long SWEEP_INTERVAL_MILLIS = 10_000;

	/** A job has up to two rows in one transaction of a hundred. */
	private static final int MAX_JOBS_PER_REMOVAL = 40;

	/**
	 * A repeated hand-in that was on its way for long must still find the job, in
	 * milliseconds. Such calls come some seconds late.
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

	// Since when a job is over is not kept. After a change of holder the time begins
	// anew,
	// which keeps it longer and never shorter.
	private boolean isRemovable(long now, JobState job) {
		if (!job.persistedPhase().isTerminal() || !job.openRuns().isEmpty()) {
			return false;
		}
		long since = this.endedSinceMillis.computeIfAbsent(job.id(), (id) -> now);
		return now - since >= this.state.policy().endedJobRetentionMillis() + LATE_RETRY_MILLIS;
	}

}
