package org.almondmount.workflow.health;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.almondmount.workflow.JobRecord.FailedAttempt;
import org.almondmount.workflow.WorkerIncarnation;

/**
 * What the starts of the last seconds tell about a fleet: the share of faulty workers,
 * and how often runs fail early on sound ones. Mutable.
 * <p>
 * For some seconds a tenth of the workers may fail whatever they start. Such a worker
 * looks free, and a gang of eight meets one of them in every second attempt.
 */
public final class FleetHealth {

	/** Half-life of evidence: as long as workers usually stay faulty. */
	static final HalfLife EVIDENCE_HALF_LIFE = new HalfLife(5_000);

	/**
	 * Time in milliseconds after the last failure that was put down to a worker until
	 * which further workers may be faulty.
	 */
	private static final long OUTBREAK_MILLIS = 5_000;

	/** Half-life of the learnt rate of early failures on sound workers. */
	private static final HalfLife RATE_HALF_LIFE = new HalfLife(300_000);

	/** Share of faulty workers that is assumed without evidence. */
	private static final double USUAL_FAULTY_SHARE = 0.02;

	/** Number of observed workers that weigh as much as the assumed share. */
	private static final double USUAL_SHARE_WEIGHT = 10;

	/** Share from which a single faulty worker is a sign that others are as well. */
	private static final double OUTBREAK_SHARE = 2 * USUAL_FAULTY_SHARE;

	/** Share above which failures are no longer put down to the workers. */
	private static final double MAX_FAULTY_SHARE = 0.3;

	/** Early failures on sound workers that are assumed without evidence. */
	private static final double USUAL_EARLY_FAILURES = 0.5;

	/** Number of starts among which they are assumed. */
	private static final double USUAL_STARTS = 200;

	/** Evidence from stored failures about workers that are not in contact yet. */
	private final Map<WorkerIncarnation, WorkerEvidence> restoredWorkers = new HashMap<>();

	/** The jobs that failed early, in the order of their last failures. */
	private final Map<String, JobEvidence> jobs = new LinkedHashMap<>();

	private final DecayingSum faultyWorkers = new DecayingSum(EVIDENCE_HALF_LIFE);

	private final DecayingSum soundWorkers = new DecayingSum(EVIDENCE_HALF_LIFE);

	private final DecayingSum earlyFailuresOnSound = new DecayingSum(RATE_HALF_LIFE);

	private final DecayingSum startsOnSound = new DecayingSum(RATE_HALF_LIFE);

	private int revision;

	private double priorLogOdds;

	private long priorMillis = Long.MIN_VALUE;

	/** The revision that the prior rests on. */
	private int priorRevision;

	private WorkerEvidence lastFaultyWorker;

	private long lastFaultyMillis;

	private long outbreakBeganMillis;

	private long outbreakEndsMillis = Long.MIN_VALUE;

	/**
	 * Starts to collect evidence about one incarnation of a worker.
	 * @param incarnation the incarnation
	 * @return its evidence, empty unless failures there were restored
	 */
	public WorkerEvidence adopt(WorkerIncarnation incarnation) {
		WorkerEvidence restored = this.restoredWorkers.remove(incarnation);
		return (restored != null) ? restored : new WorkerEvidence(this);
	}

	/**
	 * Restores a stored failure, which may have happened before this holder's term.
	 * @param now the steady clock
	 * @param job the identifier of the job
	 * @param failure the failure
	 * @param expectedMillis the expected run time of the task in milliseconds, 0 if it is
	 * not known
	 */
	public void restore(long now, String job, FailedAttempt failure, long expectedMillis) {
		if (failure.workedMillis() <= EarlyAge.millis(expectedMillis)) {
			this.restoredWorkers.computeIfAbsent(failure.incarnation(), (unknown) -> new WorkerEvidence(this))
				.restoreEarlyFailure(now, job);
		}
	}

	/**
	 * Returns the share of the workers that are probably faulty now.
	 * @param now the steady clock
	 * @return a share between 0 and 1
	 */
	public double faultyShare(long now) {
		double faulty = this.faultyWorkers.value(now) + USUAL_FAULTY_SHARE * USUAL_SHARE_WEIGHT;
		double all = this.faultyWorkers.value(now) + this.soundWorkers.value(now) + USUAL_SHARE_WEIGHT;
		return Math.min(MAX_FAULTY_SHARE, faulty / all);
	}

	/**
	 * Returns how probably a worker is faulty of which nothing is known. Cached, because
	 * all workers are judged by it.
	 * @param now the steady clock
	 * @return the logarithm of the odds
	 */
	double priorLogOdds(long now) {
		if (this.priorMillis != now || this.priorRevision != this.revision) {
			this.priorLogOdds = JobEvidence.logOdds(faultyShare(now));
			this.priorMillis = now;
			this.priorRevision = this.revision;
		}
		return this.priorLogOdds;
	}

	/**
	 * Returns the probability that a run of a sound job fails early on a sound worker.
	 * @param now the steady clock
	 * @return the probability
	 */
	double earlyFailureRate(long now) {
		double failures = this.earlyFailuresOnSound.value(now);
		return (failures + USUAL_EARLY_FAILURES) / (failures + this.startsOnSound.value(now) + USUAL_STARTS);
	}

	/**
	 * Returns a number that changes with the evidence.
	 * @return the number of recorded starts
	 */
	int revision() {
		return this.revision;
	}

	/**
	 * Returns the evidence about a job that has just failed.
	 * @param now the steady clock
	 * @param id the identifier of the job
	 * @return its evidence, empty if its failures have been forgotten
	 */
	JobEvidence failedJob(long now, String id) {
		forgetExpiredJobs(now);
		JobEvidence known = this.jobs.remove(id);
		JobEvidence job = (known != null) ? known : new JobEvidence(this);
		this.jobs.put(id, job);
		return job;
	}

	private void forgetExpiredJobs(long now) {
		Iterator<JobEvidence> eldestFirst = this.jobs.values().iterator();
		while (eldestFirst.hasNext() && eldestFirst.next().isExpired(now)) {
			eldestFirst.remove();
		}
	}

	/**
	 * Whether workers are failing runs now, so that an earlier proof is none.
	 * @param now the steady clock
	 * @return whether failures were put down to several workers not long ago
	 */
	boolean inOutbreak(long now) {
		return now < this.outbreakEndsMillis;
	}

	/**
	 * Returns since when workers have been failing runs.
	 * @return the time of the first failure of the last outbreak
	 */
	long outbreakBeganMillis() {
		return this.outbreakBeganMillis;
	}

	/**
	 * Counts a sound start.
	 * @param now the steady clock
	 * @param lastStartMillis when the worker's sound start before this one was, so that
	 * each worker counts once
	 */
	void countSoundStart(long now, long lastStartMillis) {
		this.revision++;
		this.soundWorkers.add(now, 1 - EVIDENCE_HALF_LIFE.remaining(now - lastStartMillis));
		this.startsOnSound.add(now, 1);
	}

	/**
	 * Counts an early failure on the worker in proportion to the blame that it takes.
	 * @param now the steady clock
	 * @param before what the worker's earlier failures count for already: the probability
	 * that it is faulty before this one, 0 if there were none
	 * @param after the probability afterwards
	 */
	void countEarlyFailure(long now, double before, double after) {
		this.revision++;
		this.faultyWorkers.add(now, Math.max(0, after - before));
		this.earlyFailuresOnSound.add(now, 1 - after);
	}

	/**
	 * Records that a failure was put down to a worker. A single faulty worker is no
	 * outbreak, but once a second one is found, it began with the first.
	 * @param now the steady clock
	 * @param worker the worker
	 */
	void recordFaultyWorker(long now, WorkerEvidence worker) {
		boolean second = this.lastFaultyWorker != null && this.lastFaultyWorker != worker
				&& now - this.lastFaultyMillis <= OUTBREAK_MILLIS;
		if (inOutbreak(now) || second || faultyShare(now) >= OUTBREAK_SHARE) {
			if (!inOutbreak(now)) {
				this.outbreakBeganMillis = second ? this.lastFaultyMillis : now;
			}
			this.outbreakEndsMillis = now + OUTBREAK_MILLIS;
		}
		this.lastFaultyWorker = worker;
		this.lastFaultyMillis = now;
	}

}
