package org.almondmount.jobs.impl;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;

/**
 * The registry of all known jobs, with the transitions between waiting and ended. Not
 * thread-safe.
 */
final class JobRegistry {

	private final SchedulerContext context;

	private final WaitingJobs waiting;

	private final Map<JobId, JobState> jobs = new LinkedHashMap<>();

	private final Deque<JobId> endedJobs = new ArrayDeque<>();

	private long submittedCount;

	JobRegistry(SchedulerContext context, WaitingJobs waiting) {
		this.context = context;
		this.waiting = waiting;
	}

	JobState job(JobId id) {
		return this.jobs.get(id);
	}

	Collection<JobState> jobs() {
		return this.jobs.values();
	}

	JobState add(JobId id, JobSpec spec) {
		this.submittedCount++;
		JobState job = new JobState(id, spec, this.submittedCount, this.context.now);
		this.jobs.put(id, job);
		return job;
	}

	/**
	 * Queues a job as soon as its pause is over and its previous attempts are released by
	 * their workers.
	 * @param job a job without a current attempt
	 */
	void enqueue(JobState job) {
		if (job.outcome != null || job.current != null || job.queue != null || !job.abandonedGangs.isEmpty()) {
			return;
		}
		if (job.notBefore > this.context.now) {
			this.context.timers.schedule(job.notBefore, () -> enqueue(job));
			return;
		}
		this.waiting.add(job);
	}

	/**
	 * Queues a job again as a whole.
	 * @param gang the attempt that is over
	 * @param reason the reason, a sentence
	 * @param pauseMillis how long the job pauses before it may start
	 */
	void requeue(Gang gang, String reason, long pauseMillis) {
		JobState job = gang.job;
		job.phaseSince = this.context.now;
		job.notBefore = this.context.now + pauseMillis;
		job.addExplanation(
				"Attempt " + gang.attempt.number() + " ended and the job was requeued as a whole: " + reason);
		this.context.send(new JobCommand.Requeue(gang.attempt, reason));
		enqueue(job);
	}

	void finish(JobState job, JobOutcome outcome, String reason) {
		if (job.outcome != null) {
			return;
		}
		this.waiting.remove(job);
		job.outcome = outcome;
		job.phaseSince = this.context.now;
		job.addExplanation("The job ended as " + outcome.name().toLowerCase(java.util.Locale.ROOT) + ": " + reason);
		this.context.send(new JobCommand.Finish(job.id, job.lastAttempt, outcome, reason));
		this.endedJobs.add(job.id);
		while (this.endedJobs.size() > this.context.policy.limits().endedKept()) {
			this.jobs.remove(this.endedJobs.poll());
		}
	}

}
