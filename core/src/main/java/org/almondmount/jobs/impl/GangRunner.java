package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.Ending;
import org.almondmount.jobs.JobCommand;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;

/**
 * Takes attempts through their steps: commit, prepare, start, run; and out of them, whole
 * in each case. Not thread-safe.
 */
final class GangRunner {

	/** The pause grows to 256 times the first one. */
	private static final int LARGEST_DOUBLING = 8;

	private final Desk desk;

	private final Fleet fleet;

	private final JobBook book;

	private final WaitingJobs waiting;

	private final GuaranteeAllocator ledger;

	private final Health health;

	private final RunTimes runTimes;

	/** Attempts that go on once starts are allowed again. */
	private final List<Gang> held = new ArrayList<>();

	GangRunner(Desk desk, Fleet fleet, JobBook book, WaitingJobs waiting, GuaranteeAllocator ledger, Health health,
			RunTimes runTimes) {
		this.desk = desk;
		this.fleet = fleet;
		this.book = book;
		this.waiting = waiting;
		this.ledger = ledger;
		this.health = health;
		this.runTimes = runTimes;
	}

	/**
	 * Begins the next attempt of a waiting job.
	 * @param job the job
	 * @param places a worker for each member
	 * @param spot the spot of its owner's guarantee in which it runs, null outside
	 * @return the attempt
	 */
	Gang launch(JobState job, List<WorkerNode> places, GuaranteeReservation spot) {
		this.waiting.remove(job);
		job.idled = 0;
		job.lastAttempt++;
		Gang gang = new Gang(job, job.lastAttempt, places.size());
		gang.firm = spot != null || !job.isPreemptible();
		job.current = gang;
		for (int i = 0; i < places.size(); i++) {
			Member member = new Member(gang, i, places.get(i).info.id());
			member.worker = places.get(i);
			gang.members[i] = member;
		}
		if (spot != null) {
			this.ledger.attach(spot, gang);
		}
		for (Member member : gang.members) {
			book(member);
		}
		enter(gang, Gang.Stage.CLEARING);
		clear(gang);
		if (gang.stage == Gang.Stage.CLEARING) {
			long patience = this.desk.policy.timeouts()
				.checkpoint()
				.plus(this.desk.policy.timeouts().abort())
				.toMillis();
			expect(gang, Gang.Stage.CLEARING, 2 * patience, "the room that it was promised did not get free in time");
		}
		return gang;
	}

	/**
	 * Commits the placement if the room that it was promised is free by now.
	 * @param gang the attempt
	 */
	void clear(Gang gang) {
		if (gang.stage != Gang.Stage.CLEARING) {
			return;
		}
		for (Member member : gang.members) {
			if (member.worker.isOverallocated()) {
				return;
			}
		}
		if (!this.desk.startsAllowed) {
			this.held.add(gang);
			return;
		}
		enter(gang, Gang.Stage.COMMITTING);
		List<Assignment> placement = new ArrayList<>(gang.members.length);
		for (Member member : gang.members) {
			placement.add(new Assignment(member.index, member.workerId));
		}
		this.desk.send(new JobCommand.CommitPlacement(gang.attempt, gang.job.spec, List.copyOf(placement)));
		expect(gang, Gang.Stage.COMMITTING, this.desk.policy.timeouts().commit().toMillis(),
				"the table did not take the placement in time");
	}

	void committed(Gang gang) {
		if (gang.stage != Gang.Stage.COMMITTING) {
			return;
		}
		if (!this.desk.startsAllowed) {
			this.held.add(gang);
			return;
		}
		enter(gang, Gang.Stage.PREPARING);
		for (Member member : gang.members) {
			this.desk.send(new JobCommand.Prepare(gang.attempt, member.index, member.workerId, gang.job.spec,
					gang.job.checkpoint));
		}
		expect(gang, Gang.Stage.PREPARING, this.desk.policy.timeouts().prepare().toMillis(),
				"not every worker held its member in time");
	}

	void prepared(Member member) {
		Gang gang = member.gang;
		if (gang.stage != Gang.Stage.PREPARING || member.prepared) {
			return;
		}
		member.prepared = true;
		gang.prepared++;
		startIfPrepared(gang);
	}

	void started(Member member) {
		Gang gang = member.gang;
		if (gang.stage != Gang.Stage.STARTING || member.started) {
			return;
		}
		member.started = true;
		gang.started++;
		if (gang.started == gang.members.length) {
			enter(gang, Gang.Stage.RUNNING);
			gang.runningSince = this.desk.now;
			gang.job.setbacks = 0;
			gang.job
				.say("Attempt " + gang.attempt.number() + " runs on all of its " + gang.members.length + " members.");
		}
	}

	/** Goes on with what was held while starts were not allowed. */
	void resume() {
		List<Gang> resumed = new ArrayList<>(this.held);
		this.held.clear();
		for (Gang gang : resumed) {
			clear(gang);
			committed(gang);
			startIfPrepared(gang);
		}
	}

	/**
	 * Ends an attempt that did not get whole, or is not whole any more: every member is
	 * told to let go, and the job waits again or has its ending.
	 * @param gang the attempt
	 * @param why the reason, a sentence
	 * @param setback whether the job pauses before its next attempt
	 */
	void giveUp(Gang gang, String why, boolean setback) {
		boolean mayHaveRun = gang.mayHaveRun();
		abandon(gang);
		if (mayHaveRun && !gang.job.spec.repeatable()) {
			this.book.finish(gang.job, Ending.UNKNOWN, "It may have run and may not be repeated: " + why);
			return;
		}
		this.book.requeue(gang, why, setback ? pause(gang.job) : 0);
	}

	/**
	 * Tells every member to let go; their room stays booked until they have.
	 * @param gang the attempt
	 */
	void abandon(Gang gang) {
		boolean workersKnow = gang.stage != Gang.Stage.CLEARING && gang.stage != Gang.Stage.COMMITTING;
		JobState job = gang.job;
		enter(gang, Gang.Stage.ABANDONED);
		job.current = null;
		job.abandoned.add(gang);
		for (Member member : gang.members) {
			if (member.ending != null || member.worker == null) {
				release(member);
			}
			else if (!workersKnow || !member.worker.present) {
				release(member);
			}
			else if (member.booked) {
				abort(member);
			}
		}
		if (!forgetIfGone(gang)) {
			this.desk.timers.at(this.desk.now + this.desk.policy.timeouts().abort().toMillis(), () -> letGo(gang));
		}
	}

	/**
	 * Has a running attempt checkpoint and end, or stop if it can't checkpoint. Decided
	 * when all members have ended.
	 * @param gang the attempt
	 * @param why the reason, a sentence
	 * @param patienceMillis how long the checkpoint may take
	 */
	void suspend(Gang gang, String why, long patienceMillis) {
		if (gang.stage != Gang.Stage.RUNNING && gang.stage != Gang.Stage.STARTING) {
			giveUp(gang, why, false);
			return;
		}
		enter(gang, Gang.Stage.STOPPING);
		gang.why = why;
		boolean checkpoints = gang.job.spec.checkpoints();
		for (Member member : gang.members) {
			if (member.ending == null && checkpoints) {
				this.desk.send(new JobCommand.Suspend(gang.attempt, member.index, member.workerId));
			}
		}
		if (checkpoints) {
			this.desk.timers.at(this.desk.now + patienceMillis, () -> stop(gang));
		}
		else {
			stop(gang);
		}
	}

	/**
	 * Has borrowers leave for somebody who goes before them.
	 * @param victims the attempts
	 * @param why the reason, a sentence
	 */
	void evict(Iterable<Gang> victims, String why) {
		for (Gang victim : victims) {
			if (victim.isActive()) {
				victim.job.preemptions++;
				victim.job.movedAt = this.desk.now;
			}
			if (victim.spot != null) {
				this.ledger.detach(victim);
				this.fleet.allowPreemption(victim);
			}
			suspend(victim, why, this.desk.policy.timeouts().checkpoint().toMillis());
		}
	}

	/**
	 * A worker says that a member is over.
	 * @param member the member
	 * @param ending how it ended
	 */
	void ended(Member member, Ending ending) {
		Gang gang = member.gang;
		if (ending == Ending.SUCCEEDED) {
			// The report of its start may have been lost; without it the gang would be
			// given up as late to start although a member has done its work.
			started(member);
		}
		if (member.ending == null) {
			member.ending = ending;
			gang.ended++;
		}
		release(member);
		if (gang.stage == Gang.Stage.ABANDONED) {
			forgetIfGone(gang);
			return;
		}
		if (gang.stage == Gang.Stage.STOPPING || ending == Ending.SUCCEEDED) {
			settleIfEnded(gang);
			return;
		}
		if (ending == Ending.FAILED) {
			failed(gang, member);
			return;
		}
		if (ending == Ending.WORKER_FAILED) {
			member.neverRan = !member.started;
			gang.job.avoid(member.workerId);
			this.health.blame(member.worker, Health.COULD_NOT_RUN);
			giveUp(gang, "worker " + member.workerId + " could not run member " + member.index, true);
			return;
		}
		if (ending == Ending.SUSPENDED) {
			suspend(gang, "worker " + member.workerId + " suspended member " + member.index,
					this.desk.policy.timeouts().zoneGrace().toMillis());
			settleIfEnded(gang);
			return;
		}
		giveUp(gang, "member " + member.index + " ended as " + ending + " on worker " + member.workerId, false);
	}

	/**
	 * A member's checkpoint is safe; the job can go on from there once all members' are.
	 * @param member the member
	 */
	void checkpointed(Member member) {
		member.checkpointed = true;
		for (Member other : member.gang.members) {
			if (!other.checkpointed) {
				return;
			}
		}
		member.gang.job.checkpoint = true;
		member.gang.checkpointAt = this.desk.now;
		for (Member other : member.gang.members) {
			other.checkpointed = false;
		}
	}

	void abort(Member member) {
		this.desk.send(new JobCommand.Abort(member.gang.attempt, member.index, member.workerId));
	}

	/**
	 * A worker says that nothing of a member ran there.
	 * @param member the member
	 * @param why the reason, a sentence
	 */
	void refused(Member member, String why) {
		member.neverRan = true;
		Gang gang = member.gang;
		if (gang.stage == Gang.Stage.ABANDONED || gang.stage == Gang.Stage.STOPPING) {
			ended(member, Ending.STOPPED);
			return;
		}
		member.ending = Ending.STOPPED;
		gang.ended++;
		release(member);
		this.health.blame(member.worker, Health.NO_ANSWER);
		giveUp(gang, "worker " + member.workerId + " did not take member " + member.index + ": " + why, true);
	}

	/**
	 * A worker is gone, and the member with it.
	 * @param member the member
	 */
	void lost(Member member) {
		Gang gang = member.gang;
		if (gang.stage == Gang.Stage.ABANDONED || gang.stage == Gang.Stage.STOPPING) {
			ended(member, Ending.UNKNOWN);
			return;
		}
		release(member);
		giveUp(gang, "worker " + member.workerId + " was lost with member " + member.index, false);
	}

	void book(Member member) {
		this.fleet.allocate(member);
		charge(member, 1);
	}

	private void release(Member member) {
		if (!member.booked) {
			return;
		}
		this.fleet.release(member);
		this.ledger.release(member);
		charge(member, -1);
		clearOthers(member.worker);
	}

	private void charge(Member member, int times) {
		CustomerQueue customer = this.waiting.customer(member.gang.job.spec.customer());
		customer.shareChanges(this.desk.now, this.fleet.dominantShare(customer.used));
		customer.used.add(need(member), times);
		customer.changes++;
	}

	private void clearOthers(WorkerNode worker) {
		if (worker.isOverallocated()) {
			return;
		}
		for (Member other : new ArrayList<>(worker.members)) {
			clear(other.gang);
		}
	}

	private void startIfPrepared(Gang gang) {
		if (gang.stage != Gang.Stage.PREPARING || gang.prepared < gang.members.length) {
			return;
		}
		if (!this.desk.startsAllowed) {
			this.held.add(gang);
			return;
		}
		enter(gang, Gang.Stage.STARTING);
		for (Member member : gang.members) {
			member.startSent = true;
			this.desk.send(new JobCommand.Start(gang.attempt, member.index, member.workerId));
		}
		expect(gang, Gang.Stage.STARTING, this.desk.policy.timeouts().start().toMillis(),
				"not every member reported in time that it runs");
	}

	private void stop(Gang gang) {
		if (gang.stage != Gang.Stage.STOPPING) {
			return;
		}
		for (Member member : gang.members) {
			if (member.ending == null) {
				this.desk.send(new JobCommand.Stop(gang.attempt, member.index, member.workerId));
			}
		}
		this.desk.timers.at(this.desk.now + this.desk.policy.timeouts().abort().toMillis(), () -> letGo(gang));
	}

	/**
	 * Ends the booking of members that never answered. The worker's own lease for the
	 * task has run out by then, so that the room is really free.
	 * @param gang the attempt
	 */
	private void letGo(Gang gang) {
		if (gang.stage != Gang.Stage.STOPPING && gang.stage != Gang.Stage.ABANDONED) {
			return;
		}
		for (Member member : gang.members) {
			if (member.ending == null) {
				ended(member, Ending.UNKNOWN);
			}
		}
	}

	private void settleIfEnded(Gang gang) {
		if (gang.ended < gang.members.length) {
			return;
		}
		gang.job.ranMillis += (gang.runningSince != 0) ? this.desk.now - gang.runningSince : 0;
		boolean succeeded = true;
		boolean safe = gang.job.spec.repeatable();
		boolean suspended = true;
		for (Member member : gang.members) {
			succeeded &= member.ending == Ending.SUCCEEDED;
			suspended &= member.ending == Ending.SUCCEEDED || member.ending == Ending.SUSPENDED;
		}
		JobState job = gang.job;
		job.current = null;
		enter(gang, Gang.Stage.ABANDONED);
		if (succeeded) {
			this.health.succeeded(gang);
			this.runTimes.learn(job.spec, job.ranMillis);
			this.book.finish(job, Ending.SUCCEEDED, "all members ran to their end");
			return;
		}
		job.checkpoint |= suspended;
		if (!safe && !suspended && gang.mayHaveRun()) {
			this.book.finish(job, Ending.UNKNOWN, "It may have run and may not be repeated: " + gang.why);
			return;
		}
		this.book.requeue(gang, gang.why, 0);
	}

	private void failed(Gang gang, Member member) {
		JobState job = gang.job;
		job.failures++;
		this.health.programFailed(job, member.worker);
		abandon(gang);
		int limit = this.desk.policy.limits().healthyWorkersTried();
		if (!job.spec.repeatable()) {
			this.book.finish(job, Ending.FAILED, "member " + member.index + " failed, and it may not be repeated");
			return;
		}
		if (job.failures >= limit) {
			this.book.finish(job, Ending.FAILED, "its own program failed " + job.failures
					+ " times on different workers, last on " + member.workerId);
			return;
		}
		this.book.requeue(gang, "its own program failed on worker " + member.workerId, pause(job));
	}

	private boolean forgetIfGone(Gang gang) {
		if (gang.booked > 0) {
			return false;
		}
		gang.job.abandoned.remove(gang);
		this.book.enqueue(gang.job);
		return true;
	}

	private void expect(Gang gang, Gang.Stage stage, long millis, String why) {
		this.desk.timers.at(this.desk.now + millis, () -> {
			if (gang.stage == stage) {
				blameSilent(gang, stage);
				giveUp(gang, why, true);
			}
		});
	}

	private void blameSilent(Gang gang, Gang.Stage stage) {
		for (Member member : gang.members) {
			boolean silent = (stage == Gang.Stage.PREPARING && !member.prepared)
					|| (stage == Gang.Stage.STARTING && !member.started);
			if (silent) {
				this.health.blame(member.worker, Health.NO_ANSWER);
			}
		}
	}

	private void enter(Gang gang, Gang.Stage stage) {
		gang.stage = stage;
		gang.stageSince = this.desk.now;
		gang.job.since = this.desk.now;
	}

	private long pause(JobState job) {
		int doublings = Math.min(job.setbacks, LARGEST_DOUBLING);
		job.setbacks++;
		return this.desk.policy.timeouts().retryPause().toMillis() << doublings;
	}

	private static Resources need(Member member) {
		JobSpec spec = member.gang.job.spec;
		return spec.shape().perMember();
	}

}
