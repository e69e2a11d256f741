package org.almondmount.bench.replay;

import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Resources;

/**
 * One attempt as the workers see it, with the gang's progress. A gang works only while
 * all its members run. Not thread-safe.
 */
final class GangRun {

	private final JobProgress job;

	private final Attempt attempt;

	private final AttemptRecord record;

	private final MemberRun[] members;

	private int running;

	private int checkpointed;

	private boolean fromCheckpoint;

	private long base;

	GangRun(JobProgress job, Attempt attempt, AttemptRecord record) {
		this.job = job;
		this.attempt = attempt;
		this.record = record;
		this.members = new MemberRun[record.placement().size()];
	}

	JobProgress job() {
		return this.job;
	}

	Attempt attempt() {
		return this.attempt;
	}

	AttemptRecord record() {
		return this.record;
	}

	MemberRun[] members() {
		return this.members;
	}

	Resources perMember() {
		return this.job.planned().spec().shape().perMember();
	}

	void fromCheckpoint(boolean value) {
		this.fromCheckpoint = value;
	}

	boolean fromCheckpoint() {
		return this.fromCheckpoint;
	}

	boolean works() {
		return this.record.wholeAt() != AttemptRecord.UNSET && this.record.stoppedAt() == AttemptRecord.UNSET;
	}

	/**
	 * One more member's task runs.
	 * @return true if the gang is whole now
	 */
	boolean memberRuns() {
		this.running++;
		return this.running == this.members.length && this.record.stoppedAt() == AttemptRecord.UNSET;
	}

	void whole(long now, long restore) {
		this.base = this.fromCheckpoint ? this.job.saved() : 0;
		this.record.whole(now, restore);
	}

	long remaining() {
		return this.job.planned().trueRunMillis() - this.base;
	}

	long progress(long now) {
		return this.base + Math.max(0, now - this.record.wholeAt() - this.record.restoreMillis());
	}

	// The work done so far is in the object store.
	void save(long now) {
		this.job.save(progress(now));
	}

	// The gang stops working; what is not saved is lost unless every member saves it.
	void stop(long now) {
		if (works()) {
			this.record.stopped(now);
			this.record.lost(Math.max(0, progress(now) - Math.max(this.base, this.job.saved())));
		}
		this.record.stopped(now);
	}

	// The whole of the work was done, or its program failed.
	void finish(long now) {
		this.record.stopped(now);
		if (this.job.planned().ending() == JobOutcome.SUCCEEDED) {
			this.job.save(this.job.planned().trueRunMillis());
		}
	}

	// One more member wrote its checkpoint after the stop.
	void memberCheckpointed() {
		this.checkpointed++;
		if (this.checkpointed == this.members.length && this.record.wholeAt() != AttemptRecord.UNSET) {
			this.job.save(progress(this.record.stoppedAt()));
			this.record.lost(0);
		}
	}

}
