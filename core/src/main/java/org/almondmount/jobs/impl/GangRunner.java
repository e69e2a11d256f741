package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.JobCommand;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;

/**
 * Drives attempts through their stages: commit, prepare, start, run, and stop. All
 * members of a gang change stage together. Not thread-safe.
 */
final class GangRunner {

	/** The pause grows to at most 256 times the initial pause. */
	private static final int MAX_DOUBLINGS = 8;

	private final SchedulerContext context;

	private final Fleet fleet;

	private final JobRegistry registry;

	private final WaitingJobs waiting;

	private final GuaranteeAllocator guaranteeAllocator;

	private final WorkerHealth workerHealth;

	private final RunTimeEstimator runTimeEstimator;

	/** Attempts that continue when starts are allowed again. */
	private final List<Gang> deferred = new ArrayList<>();

	GangRunner(SchedulerContext context, Fleet fleet, JobRegistry registry, WaitingJobs waiting,
			GuaranteeAllocator guaranteeAllocator, WorkerHealth workerHealth, RunTimeEstimator runTimeEstimator) {
		this.context = context;
		this.fleet = fleet;
		this.registry = registry;
		this.waiting = waiting;
		this.guaranteeAllocator = guaranteeAllocator;
		this.workerHealth = workerHealth;
		this.runTimeEstimator = runTimeEstimator;
	}

	/**
	 * Launches the next attempt of a waiting job.
	 * @param job the job
	 * @param workers a worker for each member
	 * @param reservation the owner's guarantee reservation in which it runs, null if
	 * outside
	 * @return the attempt
	 */
	Gang launch(JobState job, List<WorkerNode> workers, GuaranteeReservation reservation) {
		this.waiting.remove(job);
		job.idleAcceleratorSeconds = 0;
		job.lastAttempt++;
		Gang gang = new Gang(job, job.lastAttempt, workers.size());
		gang.preemptionProtected = reservation != null || !job.isPreemptible();
		job.current = gang;
		for (int i = 0; i < workers.size(); i++) {
			Member member = new Member(gang, i, workers.get(i).info.id());
			member.worker = workers.get(i);
			gang.members[i] = member;
		}
		if (reservation != null) {
			this.guaranteeAllocator.attach(reservation, gang);
		}
		for (Member member : gang.members) {
			allocate(member);
		}
		enterStage(gang, Gang.Stage.AWAITING_EVICTION);
		commitIfFree(gang);
		if (gang.stage == Gang.Stage.AWAITING_EVICTION) {
			long timeoutMillis = this.context.policy.timeouts()
				.checkpoint()
				.plus(this.context.policy.timeouts().abort())
				.toMillis();
			scheduleStageTimeout(gang, Gang.Stage.AWAITING_EVICTION, 2 * timeoutMillis,
					"the allocated capacity did not become free in time");
		}
		return gang;
	}

	/**
	 * Commits the placement if the allocated capacity is free.
	 * @param gang the attempt
	 */
	void commitIfFree(Gang gang) {
		if (gang.stage != Gang.Stage.AWAITING_EVICTION) {
			return;
		}
		for (Member member : gang.members) {
			if (member.worker.isOverallocated()) {
				return;
			}
		}
		if (!this.context.startsAllowed) {
			this.deferred.add(gang);
			return;
		}
		enterStage(gang, Gang.Stage.COMMITTING);
		List<Assignment> placement = new ArrayList<>(gang.members.length);
		for (Member member : gang.members) {
			placement.add(new Assignment(member.index, member.workerId));
		}
		this.context.send(new JobCommand.CommitPlacement(gang.attempt, gang.job.spec, List.copyOf(placement)));
		scheduleStageTimeout(gang, Gang.Stage.COMMITTING, this.context.policy.timeouts().commit().toMillis(),
				"the table did not commit the placement in time");
	}

	void onPlacementCommitted(Gang gang) {
		if (gang.stage != Gang.Stage.COMMITTING) {
			return;
		}
		if (!this.context.startsAllowed) {
			this.deferred.add(gang);
			return;
		}
		enterStage(gang, Gang.Stage.PREPARING);
		for (Member member : gang.members) {
			this.context.send(new JobCommand.Prepare(gang.attempt, member.index, member.workerId, gang.job.spec,
					gang.job.hasCheckpoint));
		}
		scheduleStageTimeout(gang, Gang.Stage.PREPARING, this.context.policy.timeouts().prepare().toMillis(),
				"not every worker prepared its member in time");
	}

	void onMemberPrepared(Member member) {
		Gang gang = member.gang;
		if (gang.stage != Gang.Stage.PREPARING || member.prepared) {
			return;
		}
		member.prepared = true;
		gang.preparedCount++;
		startIfPrepared(gang);
	}

	void onMemberStarted(Member member) {
		Gang gang = member.gang;
		if (gang.stage != Gang.Stage.STARTING || member.started) {
			return;
		}
		member.started = true;
		gang.startedCount++;
		if (gang.startedCount == gang.members.length) {
			enterStage(gang, Gang.Stage.RUNNING);
			gang.runningSince = this.context.now;
			gang.job.consecutiveFailedStarts = 0;
			gang.job.addExplanation("Attempt " + gang.attempt.number() + " is running on all of its "
					+ gang.members.length + " members.");
		}
	}

	/** Resumes the attempts that were deferred while starts were not allowed. */
	void resumeDeferred() {
		List<Gang> resumed = new ArrayList<>(this.deferred);
		this.deferred.clear();
		for (Gang gang : resumed) {
			commitIfFree(gang);
			onPlacementCommitted(gang);
			startIfPrepared(gang);
		}
	}

	/**
	 * Ends an attempt that did not start completely or has lost a member: every member is
	 * aborted, and the job is requeued or finished.
	 * @param gang the attempt
	 * @param reason the reason, a sentence
	 * @param pauseBeforeRetry whether the job pauses before its next attempt
	 */
	void abandonAndRequeue(Gang gang, String reason, boolean pauseBeforeRetry) {
		boolean mayHaveRun = gang.mayHaveRun();
		abandon(gang);
		if (mayHaveRun && !gang.job.spec.repeatable()) {
			this.registry.finish(gang.job, JobOutcome.UNKNOWN, "The job may have run and is not repeatable: " + reason);
			return;
		}
		this.registry.requeue(gang, reason, pauseBeforeRetry ? nextRetryPauseMillis(gang.job) : 0);
	}

	/**
	 * Aborts every member; their resources stay allocated until they are released.
	 * @param gang the attempt
	 */
	void abandon(Gang gang) {
		boolean wasSentToWorkers = gang.stage != Gang.Stage.AWAITING_EVICTION && gang.stage != Gang.Stage.COMMITTING;
		JobState job = gang.job;
		enterStage(gang, Gang.Stage.ABANDONED);
		job.current = null;
		job.abandonedGangs.add(gang);
		for (Member member : gang.members) {
			if (member.outcome != null || member.worker == null) {
				release(member);
			}
			else if (!wasSentToWorkers || !member.worker.present) {
				release(member);
			}
			else if (member.allocated) {
				abort(member);
			}
		}
		if (!removeIfReleased(gang)) {
			this.context.timers.schedule(this.context.now + this.context.policy.timeouts().abort().toMillis(),
					() -> releaseUnanswered(gang));
		}
	}

	/**
	 * Checkpoints and ends a running attempt, or stops it if it can't checkpoint. The
	 * outcome of the attempt is decided when all members have ended.
	 * @param gang the attempt
	 * @param reason the reason, a sentence
	 * @param timeoutMillis the maximum time for the checkpoint
	 */
	void suspend(Gang gang, String reason, long timeoutMillis) {
		if (gang.stage != Gang.Stage.RUNNING && gang.stage != Gang.Stage.STARTING) {
			abandonAndRequeue(gang, reason, false);
			return;
		}
		enterStage(gang, Gang.Stage.STOPPING);
		gang.stopReason = reason;
		boolean checkpoints = gang.job.spec.savesCheckpoints();
		for (Member member : gang.members) {
			if (member.outcome == null && checkpoints) {
				this.context.send(new JobCommand.Suspend(gang.attempt, member.index, member.workerId));
			}
		}
		if (checkpoints) {
			this.context.timers.schedule(this.context.now + timeoutMillis, () -> stop(gang));
		}
		else {
			stop(gang);
		}
	}

	/**
	 * Evicts attempts in favor of a job that takes precedence.
	 * @param victims the attempts
	 * @param reason the reason, a sentence
	 */
	void evict(Iterable<Gang> victims, String reason) {
		for (Gang victim : victims) {
			if (victim.isActive()) {
				victim.job.preemptions++;
				victim.job.lastPreemptedAt = this.context.now;
			}
			if (victim.guaranteeReservation != null) {
				this.guaranteeAllocator.detach(victim);
				this.fleet.allowPreemption(victim);
			}
			suspend(victim, reason, this.context.policy.timeouts().checkpoint().toMillis());
		}
	}

	/**
	 * Handles a worker's report that a member has ended.
	 * @param member the member
	 * @param outcome the outcome of the member
	 */
	void onMemberEnded(Member member, JobOutcome outcome) {
		Gang gang = member.gang;
		if (outcome == JobOutcome.SUCCEEDED) {
			// The report of its start may have been lost. Without it, the gang would be
			// abandoned by the start timeout although a member has completed.
			onMemberStarted(member);
		}
		if (member.outcome == null) {
			member.outcome = outcome;
			gang.endedCount++;
		}
		release(member);
		if (gang.stage == Gang.Stage.ABANDONED) {
			removeIfReleased(gang);
			return;
		}
		if (gang.stage == Gang.Stage.STOPPING || outcome == JobOutcome.SUCCEEDED) {
			completeIfEnded(gang);
			return;
		}
		if (outcome == JobOutcome.FAILED) {
			onProgramFailed(gang, member);
			return;
		}
		if (outcome == JobOutcome.WORKER_FAILED) {
			member.neverRan = !member.started;
			gang.job.avoid(member.workerId);
			this.workerHealth.recordFailure(member.worker, WorkerHealth.COULD_NOT_RUN_PENALTY);
			abandonAndRequeue(gang, "worker " + member.workerId + " could not run member " + member.index, true);
			return;
		}
		if (outcome == JobOutcome.SUSPENDED) {
			suspend(gang, "worker " + member.workerId + " suspended member " + member.index,
					this.context.policy.timeouts().zoneGrace().toMillis());
			completeIfEnded(gang);
			return;
		}
		abandonAndRequeue(gang, "member " + member.index + " ended as " + outcome + " on worker " + member.workerId,
				false);
	}

	/**
	 * Handles a member's stored checkpoint. The job can resume from it once the
	 * checkpoints of all members are stored.
	 * @param member the member
	 */
	void onMemberCheckpointed(Member member) {
		member.checkpointed = true;
		for (Member other : member.gang.members) {
			if (!other.checkpointed) {
				return;
			}
		}
		member.gang.job.hasCheckpoint = true;
		member.gang.lastCheckpointAt = this.context.now;
		for (Member other : member.gang.members) {
			other.checkpointed = false;
		}
	}

	void abort(Member member) {
		this.context.send(new JobCommand.Abort(member.gang.attempt, member.index, member.workerId));
	}

	/**
	 * Handles a worker's report that a member never ran.
	 * @param member the member
	 * @param reason the reason, a sentence
	 */
	void onMemberRefused(Member member, String reason) {
		member.neverRan = true;
		Gang gang = member.gang;
		if (gang.stage == Gang.Stage.ABANDONED || gang.stage == Gang.Stage.STOPPING) {
			onMemberEnded(member, JobOutcome.STOPPED);
			return;
		}
		member.outcome = JobOutcome.STOPPED;
		gang.endedCount++;
		release(member);
		this.workerHealth.recordFailure(member.worker, WorkerHealth.NO_ANSWER_PENALTY);
		abandonAndRequeue(gang, "worker " + member.workerId + " refused member " + member.index + ": " + reason, true);
	}

	/**
	 * Handles the loss of a member together with its worker.
	 * @param member the member
	 */
	void onMemberLost(Member member) {
		Gang gang = member.gang;
		if (gang.stage == Gang.Stage.ABANDONED || gang.stage == Gang.Stage.STOPPING) {
			onMemberEnded(member, JobOutcome.UNKNOWN);
			return;
		}
		release(member);
		abandonAndRequeue(gang, "worker " + member.workerId + " was lost with member " + member.index, false);
	}

	void allocate(Member member) {
		this.fleet.allocate(member);
		charge(member, 1);
	}

	private void release(Member member) {
		if (!member.allocated) {
			return;
		}
		this.fleet.release(member);
		this.guaranteeAllocator.release(member);
		charge(member, -1);
		commitOthersIfFree(member.worker);
	}

	private void charge(Member member, int times) {
		CustomerQueue customer = this.waiting.customer(member.gang.job.spec.customer());
		customer.updateAverageShare(this.context.now, this.fleet.dominantShare(customer.used));
		customer.used.add(need(member), times);
		customer.changeCount++;
	}

	private void commitOthersIfFree(WorkerNode worker) {
		if (worker.isOverallocated()) {
			return;
		}
		for (Member other : new ArrayList<>(worker.members)) {
			commitIfFree(other.gang);
		}
	}

	private void startIfPrepared(Gang gang) {
		if (gang.stage != Gang.Stage.PREPARING || gang.preparedCount < gang.members.length) {
			return;
		}
		if (!this.context.startsAllowed) {
			this.deferred.add(gang);
			return;
		}
		enterStage(gang, Gang.Stage.STARTING);
		for (Member member : gang.members) {
			member.startSent = true;
			this.context.send(new JobCommand.Start(gang.attempt, member.index, member.workerId));
		}
		scheduleStageTimeout(gang, Gang.Stage.STARTING, this.context.policy.timeouts().start().toMillis(),
				"not every member reported its start in time");
	}

	private void stop(Gang gang) {
		if (gang.stage != Gang.Stage.STOPPING) {
			return;
		}
		for (Member member : gang.members) {
			if (member.outcome == null) {
				this.context.send(new JobCommand.Stop(gang.attempt, member.index, member.workerId));
			}
		}
		this.context.timers.schedule(this.context.now + this.context.policy.timeouts().abort().toMillis(),
				() -> releaseUnanswered(gang));
	}

	/**
	 * Releases the allocations of members that never answered. By then the worker's own
	 * lease for the task has expired, so that the capacity is actually free.
	 * @param gang the attempt
	 */
	private void releaseUnanswered(Gang gang) {
		if (gang.stage != Gang.Stage.STOPPING && gang.stage != Gang.Stage.ABANDONED) {
			return;
		}
		for (Member member : gang.members) {
			if (member.outcome == null) {
				onMemberEnded(member, JobOutcome.UNKNOWN);
			}
		}
	}

	private void completeIfEnded(Gang gang) {
		if (gang.endedCount < gang.members.length) {
			return;
		}
		gang.job.ranMillis += (gang.runningSince != 0) ? this.context.now - gang.runningSince : 0;
		boolean succeeded = true;
		boolean repeatable = gang.job.spec.repeatable();
		boolean suspended = true;
		for (Member member : gang.members) {
			succeeded &= member.outcome == JobOutcome.SUCCEEDED;
			suspended &= member.outcome == JobOutcome.SUCCEEDED || member.outcome == JobOutcome.SUSPENDED;
		}
		JobState job = gang.job;
		job.current = null;
		enterStage(gang, Gang.Stage.ABANDONED);
		if (succeeded) {
			this.workerHealth.recordSuccess(gang);
			this.runTimeEstimator.recordRunTime(job.spec, job.ranMillis);
			this.registry.finish(job, JobOutcome.SUCCEEDED, "all members ran to their end");
			return;
		}
		job.hasCheckpoint |= suspended;
		if (!repeatable && !suspended && gang.mayHaveRun()) {
			this.registry.finish(job, JobOutcome.UNKNOWN,
					"The job may have run and is not repeatable: " + gang.stopReason);
			return;
		}
		this.registry.requeue(gang, gang.stopReason, 0);
	}

	private void onProgramFailed(Gang gang, Member member) {
		JobState job = gang.job;
		job.programFailures++;
		this.workerHealth.recordProgramFailure(job, member.worker);
		abandon(gang);
		int limit = this.context.policy.limits().healthyWorkersTried();
		if (!job.spec.repeatable()) {
			this.registry.finish(job, JobOutcome.FAILED,
					"member " + member.index + " failed, and the job is not repeatable");
			return;
		}
		if (job.programFailures >= limit) {
			this.registry.finish(job, JobOutcome.FAILED, "the program failed " + job.programFailures
					+ " times on different workers, last on " + member.workerId);
			return;
		}
		this.registry.requeue(gang, "the program failed on worker " + member.workerId, nextRetryPauseMillis(job));
	}

	private boolean removeIfReleased(Gang gang) {
		if (gang.allocatedCount > 0) {
			return false;
		}
		gang.job.abandonedGangs.remove(gang);
		this.registry.enqueue(gang.job);
		return true;
	}

	private void scheduleStageTimeout(Gang gang, Gang.Stage stage, long millis, String reason) {
		this.context.timers.schedule(this.context.now + millis, () -> {
			if (gang.stage == stage) {
				recordUnresponsiveWorkers(gang, stage);
				abandonAndRequeue(gang, reason, true);
			}
		});
	}

	private void recordUnresponsiveWorkers(Gang gang, Gang.Stage stage) {
		for (Member member : gang.members) {
			boolean silent = (stage == Gang.Stage.PREPARING && !member.prepared)
					|| (stage == Gang.Stage.STARTING && !member.started);
			if (silent) {
				this.workerHealth.recordFailure(member.worker, WorkerHealth.NO_ANSWER_PENALTY);
			}
		}
	}

	private void enterStage(Gang gang, Gang.Stage stage) {
		gang.stage = stage;
		gang.stageSince = this.context.now;
		gang.job.phaseSince = this.context.now;
	}

	private long nextRetryPauseMillis(JobState job) {
		int doublings = Math.min(job.consecutiveFailedStarts, MAX_DOUBLINGS);
		job.consecutiveFailedStarts++;
		return this.context.policy.timeouts().retryPause().toMillis() << doublings;
	}

	private static Resources need(Member member) {
		JobSpec spec = member.gang.job.spec;
		return spec.shape().perMember();
	}

}
