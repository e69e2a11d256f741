package org.almondmount.workflow.health;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The workers on which runs of one job failed early. Mutable.
 * <p>
 * The failures of one job are not independent: a job that fails wherever it is started
 * says nothing about the workers that it was started on.
 */
final class JobEvidence {

	/** Share of the jobs that fail right after the start on every worker. */
	private static final double FAULTY_JOB_SHARE = 0.002;

	/** Age in milliseconds at which a failure is forgotten. */
	private static final long MAX_AGE_MILLIS = 30_000;

	/** Number of workers whose failures are kept; the job is judged by the last ones. */
	private static final int MAX_FAILURES = 8;

	private final FleetHealth fleet;

	/** When it failed last on each worker, in this order. */
	private final Map<WorkerEvidence, Long> failures = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<WorkerEvidence, Long> eldest) {
			return size() > MAX_FAILURES;
		}

	};

	private long lastFailureMillis;

	JobEvidence(FleetHealth fleet) {
		this.fleet = fleet;
	}

	void recordFailure(long now, WorkerEvidence worker) {
		this.failures.remove(worker);
		this.failures.values().removeIf((failedMillis) -> isExpired(now, failedMillis));
		this.failures.put(worker, now);
		this.lastFailureMillis = now;
	}

	boolean isExpired(long now) {
		return isExpired(now, this.lastFailureMillis);
	}

	boolean hasFailedOn(long now, WorkerEvidence worker) {
		Long failedMillis = this.failures.get(worker);
		return failedMillis != null && !isExpired(now, failedMillis);
	}

	private static boolean isExpired(long now, long failedMillis) {
		return now - failedMillis > MAX_AGE_MILLIS;
	}

	/**
	 * Returns how strongly the failure of this job speaks against a worker.
	 * @param now the steady clock
	 * @param worker a worker on which it failed
	 * @return the logarithm of the likelihood ratio, 0 or more
	 */
	double weightAgainst(long now, WorkerEvidence worker) {
		return weight(now, worker, faultProbability(now, worker));
	}

	/**
	 * Returns the same without regard to the job's failures on other workers.
	 * @param now the steady clock
	 * @param worker a worker on which it failed
	 * @return the logarithm of the likelihood ratio, 0 or more
	 */
	double weightAloneAgainst(long now, WorkerEvidence worker) {
		return weight(now, worker, FAULTY_JOB_SHARE);
	}

	private double weight(long now, WorkerEvidence worker, double faultProbability) {
		double probabilityIfSound = Math.min(1, this.fleet.earlyFailureRate(now) + faultProbability);
		double ratio = WorkerEvidence.FAILURE_RATE_OF_FAULTY / probabilityIfSound;
		return remaining(now, worker) * Math.max(0, Math.log(ratio));
	}

	// The more surely the other workers are sound, the more surely the job is faulty.
	private double faultProbability(long now, WorkerEvidence exceptWorker) {
		double logOdds = logOdds(FAULTY_JOB_SHARE);
		for (WorkerEvidence other : this.failures.keySet()) {
			if (other != exceptWorker) {
				double probability = Math.min(1,
						this.fleet.earlyFailureRate(now) + other.probabilityWithout(now, this));
				logOdds -= remaining(now, other) * Math.log(probability);
			}
		}
		return probability(logOdds);
	}

	private double remaining(long now, WorkerEvidence worker) {
		Long failedMillis = this.failures.get(worker);
		return (failedMillis != null) ? FleetHealth.EVIDENCE_HALF_LIFE.remaining(now - failedMillis) : 0;
	}

	static double logOdds(double probability) {
		return Math.log(probability / (1 - probability));
	}

	static double probability(double logOdds) {
		return 1 / (1 + Math.exp(-logOdds));
	}

}
