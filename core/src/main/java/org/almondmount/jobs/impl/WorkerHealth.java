package org.almondmount.jobs.impl;

import java.util.LinkedHashSet;
import java.util.Set;

import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobFeature;

/**
 * Distinguishes faulty workers from faulty jobs by comparing failures across both. Not
 * thread-safe.
 * <p>
 * Each failure adds to a worker's score, which decays over time. A worker whose score is
 * far above that of its peers is quarantined for a time that doubles with each relapse,
 * then has to complete a single task before it gets more. A failure of a job's program
 * has a low weight until the job has run elsewhere; if it fails there too, the job is
 * considered faulty.
 */
final class WorkerHealth {

	/** Added when a worker reports that it could not run a task. */
	static final double COULD_NOT_RUN_PENALTY = 1;

	/** Added when a worker did not answer in time, or refused a member. */
	static final double NO_ANSWER_PENALTY = 0.4;

	/** Added when a program failed, retracted if it fails elsewhere too. */
	private static final double PROGRAM_FAILED_PENALTY = 0.4;

	/** Added when a program that failed on the worker completed elsewhere. */
	private static final double SUCCEEDED_ELSEWHERE_PENALTY = 0.8;

	private static final double MIN_QUARANTINE_SCORE = 2;

	private static final double MIN_PEER_SCORE_RATIO = 3;

	private static final double SCORE_HALF_LIFE_MILLIS = 600_000;

	/** The maximum share of the workers that are quarantined at the same time. */
	private static final double MAX_QUARANTINED_SHARE = 0.2;

	private static final long FIRST_QUARANTINE_MILLIS = 60_000;

	private static final int MAX_DOUBLINGS = 6;

	private static final long MAX_PROBATION_MILLIS = 300_000;

	private final SchedulerContext context;

	private final Fleet fleet;

	private final GuaranteeAllocator guaranteeAllocator;

	private final Set<WorkerNode> quarantined = new LinkedHashSet<>();

	private double totalScore;

	private long totalScoreAt;

	WorkerHealth(SchedulerContext context, Fleet fleet, GuaranteeAllocator guaranteeAllocator) {
		this.context = context;
		this.fleet = fleet;
		this.guaranteeAllocator = guaranteeAllocator;
	}

	/**
	 * Records a failure of a worker.
	 * @param worker the worker, null if it is unknown
	 * @param penalty the value to add to the worker's score
	 */
	void recordFailure(WorkerNode worker, double penalty) {
		if (worker == null || !this.context.policy.isEnabled(JobFeature.QUARANTINE)) {
			return;
		}
		worker.failureScore = currentScore(worker) + penalty;
		worker.failureScoreAtMillis = this.context.now;
		this.totalScore = decayed(this.totalScore, this.totalScoreAt) + penalty;
		this.totalScoreAt = this.context.now;
		double peerAverage = (this.totalScore - worker.failureScore) / Math.max(1, this.fleet.workers().size() - 1);
		boolean aboveLimits = worker.failureScore >= MIN_QUARANTINE_SCORE
				&& worker.failureScore > MIN_PEER_SCORE_RATIO * peerAverage;
		int maxQuarantined = (int) Math.max(1, this.fleet.workers().size() * MAX_QUARANTINED_SHARE);
		if ((aboveLimits || worker.probation) && !worker.quarantined && this.quarantined.size() < maxQuarantined) {
			quarantine(worker);
		}
	}

	/**
	 * Records a failure of a job's program.
	 * @param job the job
	 * @param worker the worker on which it failed
	 */
	void recordProgramFailure(JobState job, WorkerNode worker) {
		job.programFailedOn.add(worker.info.id());
		if (job.programFailedOn.size() > 1) {
			job.programFailedOn.forEach((id) -> retractProgramFailure(this.fleet.worker(id)));
			return;
		}
		worker.failedJobs.add(job);
		recordFailure(worker, PROGRAM_FAILED_PENALTY);
	}

	/**
	 * Records an attempt that completed.
	 * @param gang the attempt
	 */
	void recordSuccess(Gang gang) {
		for (Member member : gang.members) {
			WorkerNode worker = member.worker;
			if (worker != null && worker.probation) {
				endProbation(worker);
			}
		}
		gang.job.programFailedOn.forEach((id) -> recordFailure(this.fleet.worker(id), SUCCEEDED_ELSEWHERE_PENALTY));
	}

	private void retractProgramFailure(WorkerNode worker) {
		if (worker != null) {
			worker.failureScore = Math.max(0, currentScore(worker) - PROGRAM_FAILED_PENALTY);
			worker.failureScoreAtMillis = this.context.now;
			worker.failedJobs.clear();
		}
	}

	private void quarantine(WorkerNode worker) {
		long millis = FIRST_QUARANTINE_MILLIS << Math.min(worker.quarantineCount, MAX_DOUBLINGS);
		worker.quarantineCount++;
		worker.quarantined = true;
		worker.probation = false;
		this.quarantined.add(worker);
		this.fleet.markChanged(worker);
		this.guaranteeAllocator.onWorkerUnavailable(worker);
		for (JobState job : worker.failedJobs) {
			job.programFailures = Math.max(0, job.programFailures - 1);
		}
		worker.failedJobs.clear();
		this.context.send(new JobCommand.LogDecision(worker.info.id().value(),
				"the worker failed far more often than its peers and is quarantined for " + millis / 1000 + " s"));
		this.context.timers.schedule(this.context.now + millis, () -> beginProbation(worker));
	}

	private void beginProbation(WorkerNode worker) {
		worker.quarantined = false;
		worker.probation = true;
		worker.failureScore = 0;
		this.quarantined.remove(worker);
		this.fleet.markChanged(worker);
		this.context.send(new JobCommand.LogDecision(worker.info.id().value(),
				"the worker is on probation and gets a single task at a time"));
		int quarantines = worker.quarantineCount;
		this.context.timers.schedule(this.context.now + MAX_PROBATION_MILLIS, () -> {
			if (worker.probation && worker.quarantineCount == quarantines) {
				endProbation(worker);
			}
		});
	}

	private void endProbation(WorkerNode worker) {
		worker.probation = false;
		worker.failureScore = 0;
		this.fleet.markChanged(worker);
		this.guaranteeAllocator.onWorkerAvailable(worker);
		this.context.send(new JobCommand.LogDecision(worker.info.id().value(),
				"the probation is over; the worker gets work like any other worker"));
	}

	private double currentScore(WorkerNode worker) {
		return decayed(worker.failureScore, worker.failureScoreAtMillis);
	}

	private double decayed(double score, long at) {
		return score * Math.pow(0.5, (this.context.now - at) / SCORE_HALF_LIFE_MILLIS);
	}

}
