package org.almondmount.workflow.impl;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.health.WorkerEvidence;

/**
 * Tracks whether failures are the fault of a worker. Mutable; owned by the scheduler.
 * <p>
 * A worker that fails every run looks free and would attract one job after the other,
 * each of which would lose one of its few attempts. A worker that looks faulty is paused
 * for a while, and a single attempt after the pause decides whether it is paused again.
 * Either failures of two different jobs without a success in between indicate a faulty
 * worker, or the evidence from early failures and sound starts does, as far as it is
 * collected.
 */
final class WorkerHealth {

	/**
	 * Minimum number of different failed jobs in a row; a single job may be faulty
	 * itself.
	 */
	private static final int MIN_FAILED_JOBS = 2;

	/**
	 * First pause of a worker that looks faulty, in milliseconds; it doubles with each
	 * further pause, at most {@link #MAX_DOUBLINGS} times.
	 */
	private static final long FIRST_PAUSE_MILLIS = 2_000;

	private static final int MAX_DOUBLINGS = 2;

	/**
	 * Time in milliseconds after a pause for which gangs and retries leave the first run
	 * to other work.
	 */
	private static final long PROBE_WAIT_MILLIS = 2_000;

	private final Set<String> failedJobs = new HashSet<>();

	private Optional<WorkerEvidence> evidence = Optional.empty();

	private long pausedUntilMillis = Long.MIN_VALUE;

	/** End of the last pause for failures that the evidence put down to the worker. */
	private long blamedUntilMillis;

	private int pauses;

	private boolean proven;

	private boolean probed;

	void recordSuccess() {
		forgetEvidence();
		this.failedJobs.clear();
		this.pauses = 0;
		this.proven = true;
	}

	/**
	 * Records a failure.
	 * @param now the steady clock
	 * @param job the job whose task failed
	 * @return whether the worker is paused from now on
	 */
	boolean recordFailure(long now, String job) {
		forgetEvidence();
		this.failedJobs.add(job);
		this.proven = false;
		if (this.failedJobs.size() < MIN_FAILED_JOBS) {
			return false;
		}
		pauseForFailures(now);
		return true;
	}

	// The configuration may stop to call for evidence at any time.
	private void forgetEvidence() {
		this.evidence = Optional.empty();
		this.probed = false;
	}

	Optional<WorkerEvidence> evidence() {
		return this.evidence;
	}

	/**
	 * Judges the worker by evidence from now on, instead of by counts of failed jobs.
	 * @param collected the evidence about the worker's incarnation
	 */
	void judgeBy(WorkerEvidence collected) {
		this.evidence = Optional.of(collected);
		this.failedJobs.clear();
	}

	/**
	 * Pauses the worker because the evidence speaks against it. The first run afterwards
	 * is a probe.
	 * @param now the steady clock
	 */
	void blame(long now) {
		pauseForFailures(now);
		this.blamedUntilMillis = this.pausedUntilMillis;
		this.probed = true;
	}

	private void pauseForFailures(long now) {
		this.pausedUntilMillis = now + (FIRST_PAUSE_MILLIS << Math.min(this.pauses, MAX_DOUBLINGS));
		this.pauses++;
	}

	/**
	 * Returns how long the worker stays paused.
	 * @param now the steady clock
	 * @return milliseconds, 0 if it is not paused
	 */
	long pauseMillis(long now) {
		return Math.max(0, this.pausedUntilMillis - now);
	}

	/**
	 * Ends the probe if a run has passed it.
	 * @param startedMillis when a sound run started, by the steady clock
	 * @return whether this was the probe
	 */
	boolean passProbe(long startedMillis) {
		if (!this.probed || startedMillis < this.blamedUntilMillis) {
			return false;
		}
		this.probed = false;
		this.pauses = 0;
		return true;
	}

	/**
	 * Whether the next run decides if the worker is paused again.
	 * @param now the steady clock
	 * @return whether its pause is over, and no run has outlived the early age since
	 */
	boolean probed(long now) {
		return this.probed && now >= this.blamedUntilMillis;
	}

	/**
	 * Whether the worker is paused because the evidence speaks against it.
	 * @param now the steady clock
	 * @return whether its pause for failures lasts
	 */
	boolean blamed(long now) {
		return this.probed && now < this.blamedUntilMillis;
	}

	/**
	 * Whether gangs and retries should use other workers, because the first run after a
	 * pause is a probe: it risks the work of all members, or one more attempt.
	 * @param now the steady clock
	 * @return whether it is probed and its pause has ended not long ago
	 */
	boolean awaitsProbe(long now) {
		return probed(now) && now - this.blamedUntilMillis < PROBE_WAIT_MILLIS;
	}

	// Used for reasons that are not the worker's fault, such as a refusal for lack of
	// capacity.
	void pauseUntil(long millis) {
		this.pausedUntilMillis = Math.max(this.pausedUntilMillis, millis);
	}

	boolean usable(long now) {
		return now >= this.pausedUntilMillis;
	}

	/**
	 * Whether the worker has recently shown that it completes what it starts.
	 * @param now the steady clock
	 * @return whether a recent start was sound after the last failure; without evidence,
	 * whether a run succeeded there after it
	 */
	boolean isProven(long now) {
		boolean sound = this.evidence.map((known) -> known.isProven(now)).orElse(this.proven);
		return sound && usable(now);
	}

	/**
	 * Returns how much speaks against the worker.
	 * @param now the steady clock
	 * @return the suspicion in coarse steps; without evidence, the number of different
	 * jobs that failed since the last success
	 */
	int suspicion(long now) {
		return this.evidence.map((known) -> known.suspicion(now)).orElse(this.failedJobs.size());
	}

	/**
	 * Returns how much speaks against placing a member of a gang on the worker.
	 * @param now the steady clock
	 * @return the suspicion, more if the worker is not proven while others fail runs
	 */
	int gangSuspicion(long now) {
		boolean risky = this.evidence.map((known) -> known.isRiskyForGangs(now)).orElse(false);
		return suspicion(now) + (risky ? 1 : 0);
	}

}
