package org.almondmount.workflow.health;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The evidence whether one incarnation of a worker fails what it starts. Mutable.
 */
public final class WorkerEvidence {

	/** Probability that a faulty worker fails a run right after its start. */
	static final double FAILURE_RATE_OF_FAULTY = 0.95;

	/**
	 * Probability from which a worker is paused. A pause of a sound worker costs a few
	 * seconds of its capacity, a faulty worker costs an attempt of each job it starts.
	 */
	private static final double FAULTY_PROBABILITY = 0.4;

	/** Probability from which other workers are preferred. */
	private static final double DOUBTFUL_PROBABILITY = 0.1;

	private static final double DOUBTFUL_LOG_ODDS = JobEvidence.logOdds(DOUBTFUL_PROBABILITY);

	/**
	 * Odds that are left after a run has outlived the early age: the worker may have
	 * become faulty since.
	 */
	private static final double ODDS_AFTER_SOUND_START = 0.2;

	/**
	 * Time in milliseconds for which a sound start is a proof: a worker may become faulty
	 * at any time, and usually stays so for as long.
	 */
	private static final long PROOF_VALIDITY_MILLIS = 5_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final FleetHealth fleet;

	/** The jobs that failed early here since the last sound start. */
	private final Set<JobEvidence> failedJobs = new LinkedHashSet<>();

	private long lastFailureMillis = NEVER;

	private long lastSoundStartMillis = NEVER;

	private int suspicion;

	private long suspicionMillis = NEVER;

	/** The revision of the fleet's evidence that the suspicion rests on. */
	private int suspicionRevision;

	WorkerEvidence(FleetHealth fleet) {
		this.fleet = fleet;
	}

	/**
	 * Records a run that failed before the early age.
	 * @param now the steady clock
	 * @param job the identifier of its job
	 * @return what is known of the worker with this failure
	 */
	public Judgement recordEarlyFailure(long now, String job) {
		Judgement judgement = countEarlyFailure(now, job);
		if (judgement.faulty()) {
			this.fleet.recordFaultyWorker(now, this);
		}
		return judgement;
	}

	/**
	 * Records a stored failure. It may be old, so no outbreak begins with it.
	 * @param now the steady clock
	 * @param job the identifier of its job
	 */
	void restoreEarlyFailure(long now, String job) {
		countEarlyFailure(now, job);
	}

	// The worker is judged by the other workers' share of faulty ones, so before its own
	// failure counts there.
	private Judgement countEarlyFailure(long now, String job) {
		double before = this.failedJobs.isEmpty() ? 0 : probability(now);
		JobEvidence evidence = this.fleet.failedJob(now, job);
		this.failedJobs.removeIf((failed) -> !failed.hasFailedOn(now, this));
		evidence.recordFailure(now, this);
		boolean added = this.failedJobs.add(evidence);
		this.lastFailureMillis = now;
		double after = probability(now);
		this.fleet.countEarlyFailure(now, before, after);
		return new Judgement(added, after);
	}

	/**
	 * Records a run that succeeded or outlived the early age. It shows nothing new if it
	 * started before the last early failure, or not after the last sound start.
	 * @param now the steady clock
	 * @param startedMillis when the run started its work, by the steady clock
	 */
	public void recordSoundStart(long now, long startedMillis) {
		if (startedMillis <= Math.max(this.lastFailureMillis, this.lastSoundStartMillis)) {
			return;
		}
		this.fleet.countSoundStart(now, this.lastSoundStartMillis);
		this.lastSoundStartMillis = startedMillis;
		this.failedJobs.clear();
	}

	/**
	 * Returns the probability that the worker is faulty.
	 * @param now the steady clock
	 * @return the probability
	 */
	public double probability(long now) {
		return probability(now, (job) -> job.weightAgainst(now, this));
	}

	/**
	 * Returns the probability without the evidence of one job, and without regard to
	 * other failures of the other jobs.
	 * @param now the steady clock
	 * @param excluded the job
	 * @return the probability
	 */
	double probabilityWithout(long now, JobEvidence excluded) {
		return probability(now, (job) -> (job != excluded) ? job.weightAloneAgainst(now, this) : 0);
	}

	private double probability(long now, ToDoubleFunction<JobEvidence> weightAgainst) {
		double proof = FleetHealth.EVIDENCE_HALF_LIFE.remaining(now - this.lastSoundStartMillis);
		double logOdds = this.fleet.priorLogOdds(now) + proof * Math.log(ODDS_AFTER_SOUND_START);
		return JobEvidence.probability(logOdds + this.failedJobs.stream().mapToDouble(weightAgainst).sum());
	}

	/**
	 * Whether the worker should be paused.
	 * @param now the steady clock
	 * @return whether it is probably faulty
	 */
	public boolean isFaulty(long now) {
		return probability(now) >= FAULTY_PROBABILITY;
	}

	/**
	 * Returns the suspicion in coarse steps, so that differences without meaning do not
	 * decide a placement. Cached, because each placement attempt reads it.
	 * @param now the steady clock
	 * @return 0 for none, 1 for doubt, 2 for a worker that is probably faulty
	 */
	public int suspicion(long now) {
		if (this.suspicionMillis != now || this.suspicionRevision != this.fleet.revision()) {
			boolean unsuspected = this.failedJobs.isEmpty() && this.fleet.priorLogOdds(now) < DOUBTFUL_LOG_ODDS;
			this.suspicion = unsuspected ? 0 : suspicionOf(probability(now));
			this.suspicionMillis = now;
			this.suspicionRevision = this.fleet.revision();
		}
		return this.suspicion;
	}

	private static int suspicionOf(double probability) {
		if (probability >= FAULTY_PROBABILITY) {
			return 2;
		}
		return (probability >= DOUBTFUL_PROBABILITY) ? 1 : 0;
	}

	/**
	 * Whether a start has recently shown that the worker is sound.
	 * @param now the steady clock
	 * @return whether a recent start was sound, none has failed early since, and no
	 * outbreak of failures has begun since
	 */
	public boolean isProven(long now) {
		return this.lastSoundStartMillis > this.lastFailureMillis
				&& now - this.lastSoundStartMillis <= PROOF_VALIDITY_MILLIS
				&& !(this.fleet.inOutbreak(now) && this.lastSoundStartMillis < this.fleet.outbreakBeganMillis());
	}

	/**
	 * Whether a gang, which loses the work of all members with one of them, should rather
	 * use other workers.
	 * @param now the steady clock
	 * @return whether workers are failing runs now, and this one is not proven since
	 */
	public boolean isRiskyForGangs(long now) {
		return this.fleet.inOutbreak(now) && !isProven(now);
	}

	/**
	 * What is known of a worker after an early failure.
	 *
	 * @param newJob whether the job has not failed early here since the last sound start,
	 * as far as its failures are kept
	 * @param probability the probability that the worker is faulty
	 */
	public record Judgement(boolean newJob, double probability) {

		/**
		 * Whether the worker should be paused.
		 * @return whether it is probably faulty
		 */
		public boolean faulty() {
			return suspicionOf(this.probability) == 2;
		}

		/**
		 * Whether a worker that is probed should be paused again.
		 * @return whether another job failed there as well, and the worker is in doubt
		 */
		public boolean failsProbe() {
			return this.newJob && suspicionOf(this.probability) > 0;
		}

	}

}
