package org.almondmount.daemon.entry.control;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.daemon.entry.store.Rows.JobRow;
import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;

/**
 * A job as the table has it, with those who wait for it. Owned by the control duty.
 */
final class JobRecord {

	private final JobId id;

	private final JobSpec spec;

	private final long submitted;

	private final List<Runnable> afterStored = new ArrayList<>();

	private final List<JobWaiter> waiters = new ArrayList<>();

	private boolean stored;

	private boolean discarded;

	private int attempt;

	private List<Assignment> placement = List.of();

	private JobOutcome ending;

	private String why = "";

	private boolean endingStored;

	private int overUpTo;

	JobRecord(JobId id, JobSpec spec, long submitted) {
		this.id = id;
		this.spec = spec;
		this.submitted = submitted;
	}

	static JobRecord read(JobId id, JobRow row) {
		JobRecord job = new JobRecord(id, row.spec(), row.submitted());
		job.stored = true;
		job.attempt = row.attempt();
		job.placement = row.placement();
		job.ending = row.ending();
		job.why = row.why();
		job.endingStored = row.ended().isPresent();
		job.overUpTo = (job.endingStored || job.placement.isEmpty()) ? job.attempt : job.attempt - 1;
		return job;
	}

	JobId id() {
		return this.id;
	}

	JobSpec spec() {
		return this.spec;
	}

	long submitted() {
		return this.submitted;
	}

	int attempt() {
		return this.attempt;
	}

	List<Assignment> placement() {
		return this.placement;
	}

	JobOutcome ending() {
		return this.ending;
	}

	String why() {
		return this.why;
	}

	boolean isEnded() {
		return this.endingStored;
	}

	boolean isDiscarded() {
		return this.discarded;
	}

	List<JobWaiter> waiters() {
		return this.waiters;
	}

	JobRow row() {
		return new JobRow(this.spec, this.attempt, this.placement, this.ending, this.why, this.submitted);
	}

	/**
	 * Runs something once the job itself is in the table; at once if it is.
	 * @param work what to run
	 */
	void whenStored(Runnable work) {
		if (this.stored) {
			work.run();
		}
		else if (!this.discarded) {
			this.afterStored.add(work);
		}
	}

	void stored() {
		this.stored = true;
		List.copyOf(this.afterStored).forEach(Runnable::run);
		this.afterStored.clear();
	}

	void discard() {
		this.discarded = true;
		this.afterStored.clear();
	}

	void placed(int number, List<Assignment> newPlacement) {
		this.attempt = number;
		this.placement = newPlacement;
	}

	void requeued(String reason) {
		this.placement = List.of();
		this.why = reason;
	}

	void ended(JobOutcome how, String reason) {
		this.ending = how;
		this.why = reason;
		this.placement = List.of();
	}

	void endingStored() {
		this.endingStored = true;
		this.overUpTo = this.attempt;
	}

	/**
	 * The table knows that this attempt and all before it are over.
	 * @param number the attempt's number
	 */
	void overUpTo(int number) {
		this.overUpTo = Math.max(this.overUpTo, number);
	}

	boolean isOver(Attempt one) {
		return one.number() <= this.overUpTo;
	}

}
