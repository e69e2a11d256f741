package org.almondmount.jobs.impl;

import java.util.LinkedHashSet;
import java.util.Set;

import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobFeature;

/**
 * Tells bad workers from bad jobs by comparing across both. Not thread-safe.
 * <p>
 * Each failure adds to a worker's score, which decays. A worker whose score stands far
 * above its peers' is set aside for a time that doubles with each relapse, then has to
 * run one single task before it gets more. A job's own failure weighs little until the
 * job has run elsewhere; if it fails there too, it is the job.
 */
final class Health {

	/** Added when a worker says that it could not run a task. */
	static final double COULD_NOT_RUN = 1;

	/** Added when a worker did not answer in time, or refused. */
	static final double NO_ANSWER = 0.4;

	/** Added when a program failed, taken back if it fails elsewhere. */
	private static final double PROGRAM_FAILED = 0.4;

	/** Added when a program that failed there ran to its end elsewhere. */
	private static final double RAN_ELSEWHERE = 0.8;

	private static final double LIMIT = 2;

	private static final double ABOVE_PEERS = 3;

	private static final double HALF_LIFE_MILLIS = 600_000;

	/** At most this share of the workers is set aside at a time. */
	private static final double LARGEST_SHARE = 0.2;

	private static final long FIRST_QUARANTINE_MILLIS = 60_000;

	private static final int LARGEST_DOUBLING = 6;

	private static final long LONGEST_PROBATION_MILLIS = 300_000;

	private final Desk desk;

	private final Fleet fleet;

	private final GuaranteeAllocator ledger;

	private final Set<WorkerNode> quarantined = new LinkedHashSet<>();

	private double scoreOfAll;

	private long scoreOfAllAt;

	Health(Desk desk, Fleet fleet, GuaranteeAllocator ledger) {
		this.desk = desk;
		this.fleet = fleet;
		this.ledger = ledger;
	}

	/**
	 * A worker failed to do its part.
	 * @param worker the worker, null if it is not known
	 * @param weight how much that says about it
	 */
	void blame(WorkerNode worker, double weight) {
		if (worker == null || !this.desk.policy.has(JobFeature.QUARANTINE)) {
			return;
		}
		worker.failureScore = score(worker) + weight;
		worker.failureScoreAtMillis = this.desk.now;
		this.scoreOfAll = decayed(this.scoreOfAll, this.scoreOfAllAt) + weight;
		this.scoreOfAllAt = this.desk.now;
		double peers = (this.scoreOfAll - worker.failureScore) / Math.max(1, this.fleet.workers().size() - 1);
		boolean far = worker.failureScore >= LIMIT && worker.failureScore > ABOVE_PEERS * peers;
		int most = (int) Math.max(1, this.fleet.workers().size() * LARGEST_SHARE);
		if ((far || worker.probation) && !worker.quarantined && this.quarantined.size() < most) {
			quarantine(worker);
		}
	}

	/**
	 * A job's own program failed.
	 * @param job the job
	 * @param worker where it failed
	 */
	void programFailed(JobState job, WorkerNode worker) {
		job.failedOn.add(worker.info.id());
		if (job.failedOn.size() > 1) {
			job.failedOn.forEach((id) -> absolve(this.fleet.worker(id)));
			return;
		}
		worker.failedJobs.add(job);
		blame(worker, PROGRAM_FAILED);
	}

	/**
	 * An attempt ran to its end.
	 * @param gang the attempt
	 */
	void succeeded(Gang gang) {
		for (Member member : gang.members) {
			WorkerNode worker = member.worker;
			if (worker != null && worker.probation) {
				endProbation(worker);
			}
		}
		gang.job.failedOn.forEach((id) -> blame(this.fleet.worker(id), RAN_ELSEWHERE));
	}

	private void absolve(WorkerNode worker) {
		if (worker != null) {
			worker.failureScore = Math.max(0, score(worker) - PROGRAM_FAILED);
			worker.failureScoreAtMillis = this.desk.now;
			worker.failedJobs.clear();
		}
	}

	private void quarantine(WorkerNode worker) {
		long millis = FIRST_QUARANTINE_MILLIS << Math.min(worker.quarantineCount, LARGEST_DOUBLING);
		worker.quarantineCount++;
		worker.quarantined = true;
		worker.probation = false;
		this.quarantined.add(worker);
		this.fleet.markChanged(worker);
		this.ledger.onWorkerUnavailable(worker);
		for (JobState job : worker.failedJobs) {
			job.failures = Math.max(0, job.failures - 1);
		}
		worker.failedJobs.clear();
		this.desk.send(new JobCommand.Explain(worker.info.id().value(),
				"it failed what it started far more often than other workers and gets no work for " + millis / 1000
						+ " s"));
		this.desk.timers.at(this.desk.now + millis, () -> beginProbation(worker));
	}

	private void beginProbation(WorkerNode worker) {
		worker.quarantined = false;
		worker.probation = true;
		worker.failureScore = 0;
		this.quarantined.remove(worker);
		this.fleet.markChanged(worker);
		this.desk.send(new JobCommand.Explain(worker.info.id().value(), "it is tried with one single task at a time"));
		int quarantines = worker.quarantineCount;
		this.desk.timers.at(this.desk.now + LONGEST_PROBATION_MILLIS, () -> {
			if (worker.probation && worker.quarantineCount == quarantines) {
				endProbation(worker);
			}
		});
	}

	private void endProbation(WorkerNode worker) {
		worker.probation = false;
		worker.failureScore = 0;
		this.fleet.markChanged(worker);
		this.ledger.onWorkerAvailable(worker);
		this.desk.send(new JobCommand.Explain(worker.info.id().value(), "it gets work like any other worker again"));
	}

	private double score(WorkerNode worker) {
		return decayed(worker.failureScore, worker.failureScoreAtMillis);
	}

	private double decayed(double score, long at) {
		return score * Math.pow(0.5, (this.desk.now - at) / HALF_LIFE_MILLIS);
	}

}
