package org.almondmount.gang.impl;

import java.util.Optional;

import org.almondmount.gang.HeldMember;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobSpec;

/**
 * One member at this worker. Not thread-safe.
 */
final class MemberRecord {

	private final Attempt attempt;

	private final int member;

	private final Optional<JobSpec> spec;

	private final boolean fromCheckpoint;

	private Phase phase;

	private JobOutcome ending;

	private long deadline;

	private long renewAt;

	private long reportAt;

	private long phaseBegan;

	private int endReports;

	MemberRecord(Attempt attempt, int member, Optional<JobSpec> spec, boolean fromCheckpoint) {
		this.attempt = attempt;
		this.member = member;
		this.spec = spec;
		this.fromCheckpoint = fromCheckpoint;
	}

	Attempt attempt() {
		return this.attempt;
	}

	int member() {
		return this.member;
	}

	/**
	 * The job; empty for a task that was found running and that nobody here started.
	 * @return the job
	 */
	Optional<JobSpec> spec() {
		return this.spec;
	}

	boolean fromCheckpoint() {
		return this.fromCheckpoint;
	}

	Phase phase() {
		return this.phase;
	}

	/**
	 * Enters a phase.
	 * @param now the time
	 * @param newPhase the phase
	 * @param until when it has to be left again
	 */
	void enter(long now, Phase newPhase, long until) {
		this.phase = newPhase;
		this.phaseBegan = now;
		this.deadline = until;
		this.reportAt = now;
	}

	long phaseBegan() {
		return this.phaseBegan;
	}

	long deadline() {
		return this.deadline;
	}

	void extend(long until) {
		this.deadline = Math.max(this.deadline, until);
	}

	long renewAt() {
		return this.renewAt;
	}

	void renewNext(long at) {
		this.renewAt = at;
	}

	long reportAt() {
		return this.reportAt;
	}

	void reportNext(long at) {
		this.reportAt = at;
	}

	JobOutcome ending() {
		return this.ending;
	}

	void end(long now, JobOutcome how) {
		this.ending = how;
		enter(now, Phase.ENDED, Long.MAX_VALUE);
	}

	int endReports() {
		return this.endReports;
	}

	void countEndReport() {
		this.endReports++;
	}

	boolean usesRoom() {
		return this.phase != Phase.ENDED;
	}

	boolean checkpoints() {
		return this.spec.isEmpty() || this.spec.get().savesCheckpoints();
	}

	Optional<HeldMember> held() {
		if (this.spec.isEmpty()) {
			return Optional.empty();
		}
		boolean running = this.phase == Phase.RUNNING
				|| (this.phase == Phase.ENDED && this.ending == JobOutcome.SUCCEEDED);
		if (!running && this.phase != Phase.HELD && this.phase != Phase.STARTING) {
			return Optional.empty();
		}
		return Optional.of(new HeldMember(this.attempt, this.member, this.spec.get().shape().members(), running));
	}

	/**
	 * Where a member stands.
	 */
	enum Phase {

		/** Room is held; the deadline ends the hold. */
		HELD,

		/** The worker was told to start; the deadline is the gang lease's. */
		STARTING,

		/** The worker says that it runs; the deadline is the gang lease's. */
		RUNNING,

		/** The worker was told to suspend; at the deadline it is stopped. */
		SUSPENDING,

		/**
		 * The worker was told to stop and its lease is not renewed any more; at the
		 * deadline the lease has run out for certain.
		 */
		STOPPING,

		/** Over; reported until an entry forgets the attempt. */
		ENDED

	}

}
