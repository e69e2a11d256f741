package org.almondmount.workflow.impl;

import java.util.List;

import org.almondmount.workflow.JobRecord.FailedAttempt;
import org.almondmount.workflow.LoadDecision;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.health.EarlyAge;
import org.almondmount.workflow.health.FleetHealth;
import org.almondmount.workflow.health.WorkerEvidence;

/**
 * Tells the workers' health how runs started and ended. Owned by the scheduler.
 */
final class WorkerHealthTracker {

	/**
	 * Maximum share of a pool's workers that are paused for failures at the same time. If
	 * more of them fail runs, the cause is hardly the workers, and callers need their
	 * capacity. So none is paused in a pool of three workers or fewer.
	 */
	private static final double MAX_BLAMED_SHARE = 0.25;

	private static final double MAX_PERCENT = 100;

	private final SchedulerState state;

	private FleetHealth fleet = new FleetHealth();

	/** The epoch of the term that the evidence belongs to. */
	private long epoch;

	WorkerHealthTracker(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Restores the failures of a job, which its record contains. The configuration may
	 * not be known yet, so they are kept until a worker is judged by them.
	 * @param step the step whose tasks failed
	 * @param failures the failures
	 */
	void restore(StepState step, List<FailedAttempt> failures) {
		for (FailedAttempt failure : failures) {
			fleet().restore(this.state.steadyMillis(), step.job().id(), failure, step.spec().estimateMillis());
		}
	}

	/**
	 * Judges a worker by the evidence about its incarnation, which may contain restored
	 * failures. Has no effect if it is judged so already.
	 * @param worker a worker in contact
	 */
	void adopt(Worker worker) {
		if (collectsEvidence()) {
			evidence(worker);
		}
	}

	/**
	 * Records that a run succeeded.
	 * @param run the run
	 */
	void recordSuccess(Run run) {
		if (!collectsEvidence()) {
			run.worker().health().recordSuccess();
		}
		else if (run.running() || startedInThisTerm(run)) {
			recordSoundStart(run);
		}
	}

	/**
	 * Records how long a run has worked; once it has outlived the early age, it shows
	 * that its worker is sound.
	 * @param run the run
	 */
	void recordWork(Run run) {
		if (collectsEvidence() && run.running() && !isYoung(run)) {
			recordSoundStart(run);
		}
	}

	/**
	 * Records a failure, and pauses the worker if it is probably the worker's fault. A
	 * task that fails at a certain point of its work fails early on any worker once it
	 * resumes from a checkpoint before that point, so such a failure shows nothing.
	 * @param run the run that failed
	 */
	void recordFailure(Run run) {
		if (!this.state.has(SchedulerFeature.REST_SUSPICIOUS)) {
			return;
		}
		if (!collectsEvidence()) {
			countFailedJob(run);
		}
		else if (!isYoung(run)) {
			recordWork(run);
		}
		else if (startedInThisTerm(run) && !run.isResumedFromCheckpoint()) {
			recordEarlyFailure(run);
		}
	}

	private void countFailedJob(Run run) {
		if (run.worker().health().recordFailure(this.state.steadyMillis(), run.task().step().job().id())) {
			this.state.explain("worker-paused", "worker", run.worker().target(), "why",
					"several jobs failed in a row on this worker");
		}
	}

	private void recordEarlyFailure(Run run) {
		long now = this.state.steadyMillis();
		WorkerHealth health = run.worker().health();
		WorkerEvidence evidence = evidence(run.worker());
		WorkerEvidence.Judgement judgement = evidence.recordEarlyFailure(now, run.task().step().job().id());
		boolean faulty = health.probed(now) ? judgement.failsProbe() : judgement.faulty();
		if (!faulty || health.blamed(now) || !leavesEnoughWorkers(run.worker())) {
			return;
		}
		health.blame(now);
		this.state.count(LoadDecision.WORKER_BLAMED);
		this.state.explain("worker-paused", "worker", run.worker().target(), "why",
				"runs fail right after their start on this worker", "job", run.task().step().job().id(),
				"probablyFaultyPercent", percent(judgement.probability()), "ageMillis", run.workedMillis(now),
				"fleetFaultyPercent", percent(fleet().faultyShare(now)), "pauseMillis", health.pauseMillis(now));
	}

	private void recordSoundStart(Run run) {
		long now = this.state.steadyMillis();
		long startedMillis = startedMillis(run);
		evidence(run.worker()).recordSoundStart(now, startedMillis);
		if (run.worker().health().passProbe(startedMillis)) {
			this.state.explain("worker-proven-again", "worker", run.worker().target(), "life",
					run.worker().incarnation(), "job", run.task().step().job().id(), "ageMillis", now - startedMillis);
		}
	}

	// The progress of an inherited run tells only roughly when it started, but it cannot
	// have started after the term began.
	private long startedMillis(Run run) {
		long now = this.state.steadyMillis();
		long startedMillis = now - ageMillis(run);
		return startedInThisTerm(run) ? startedMillis : Math.min(startedMillis, now - this.state.termAgeMillis());
	}

	private boolean leavesEnoughWorkers(Worker paused) {
		long now = this.state.steadyMillis();
		int blamed = 0;
		int inService = 0;
		for (Worker worker : this.state.workers().values()) {
			if (!worker.pool().equals(paused.pool())) {
				continue;
			}
			if (worker.health().blamed(now)) {
				blamed++;
				inService++;
			}
			else if (this.state.canStartOn(worker)) {
				inService++;
			}
		}
		return blamed + 1 <= inService * MAX_BLAMED_SHARE;
	}

	private boolean isYoung(Run run) {
		return ageMillis(run) <= EarlyAge.millis(run.task().step().expectedMillis());
	}

	// A run that was never reported as running has worked for at most the time since its
	// start command.
	private long ageMillis(Run run) {
		long now = this.state.steadyMillis();
		return run.running() ? run.workedMillis(now) : now - run.lastCommandMillis();
	}

	private boolean startedInThisTerm(Run run) {
		return run.epoch() == this.state.epoch() && run.state() != Run.State.INHERITED;
	}

	private boolean collectsEvidence() {
		return this.state.has(SchedulerFeature.BLAME_EARLY_FAILURES);
	}

	private WorkerEvidence evidence(Worker worker) {
		WorkerHealth health = worker.health();
		if (health.evidence().isEmpty()) {
			health.judgeBy(fleet().adopt(worker.incarnation()));
		}
		return health.evidence().orElseThrow();
	}

	// Evidence of an earlier term of this process is out of date.
	private FleetHealth fleet() {
		if (this.epoch != this.state.epoch()) {
			this.epoch = this.state.epoch();
			this.fleet = new FleetHealth();
		}
		return this.fleet;
	}

	private static long percent(double share) {
		return Math.round(MAX_PERCENT * share);
	}

}
