package org.almondmount.jobs.impl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.jobs.JobView;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.WorkerId;

/**
 * A job and everything that is known about it. Mutable, not thread-safe.
 */
final class JobState {

	private static final int MAX_EXPLANATIONS = 12;

	final JobId id;

	final JobSpec spec;

	/** Its place in the order of submission; kept when it is requeued. */
	final long submissionOrder;

	final long submittedAt;

	/** The number of the last attempt, 0 before the first. */
	int lastAttempt;

	/** The attempt that counts, null while it waits or is over. */
	Gang current;

	/** Attempts that were given up and whose room is still booked. */
	final List<Gang> abandonedGangs = new ArrayList<>(0);

	/** Its line in the queue while it waits there, null otherwise. */
	ShapeQueue queue;

	boolean hasCheckpoint;

	JobOutcome outcome;

	long phaseSince;

	long notBefore;

	/** How often its own program failed. */
	int programFailures;

	/** Attempts in a row that did not get to run. */
	int consecutiveFailedStarts;

	int preemptions;

	long lastPreemptedAt = Long.MIN_VALUE;

	/** How long it ran to its end or to a checkpoint, over all attempts. */
	long ranMillis;

	/**
	 * How much room stood idle because it could not start there, in accelerator seconds.
	 */
	double idleAcceleratorSeconds;

	/** Until when no room is reserved for it, because the last was late. */
	long noReservationBefore;

	/** Workers that could not run it. */
	final Set<WorkerId> avoidedWorkers = new HashSet<>(0);

	/** Healthy workers on which its own program failed. */
	final Set<WorkerId> programFailedOn = new HashSet<>(0);

	private final List<String> explanations = new ArrayList<>(2);

	JobState(JobId id, JobSpec spec, long submissionOrder, long submittedAt) {
		this.id = id;
		this.spec = spec;
		this.submissionOrder = submissionOrder;
		this.submittedAt = submittedAt;
		this.phaseSince = submittedAt;
	}

	/**
	 * Whether others may preempt it while it runs outside its owner's guarantee.
	 * @return false for work that may not be repeated
	 */
	boolean isPreemptible() {
		return this.spec.repeatable();
	}

	Gang gang(int number) {
		if (this.current != null && this.current.attempt.number() == number) {
			return this.current;
		}
		for (Gang gang : this.abandonedGangs) {
			if (gang.attempt.number() == number) {
				return gang;
			}
		}
		return null;
	}

	void avoid(WorkerId worker) {
		this.avoidedWorkers.add(worker);
	}

	boolean avoids(WorkerId worker) {
		return this.avoidedWorkers.contains(worker) || this.programFailedOn.contains(worker);
	}

	void addExplanation(String explanation) {
		if (!this.explanations.isEmpty() && this.explanations.get(this.explanations.size() - 1).equals(explanation)) {
			return;
		}
		if (this.explanations.size() == MAX_EXPLANATIONS) {
			this.explanations.remove(1);
		}
		this.explanations.add(explanation);
	}

	List<String> explanations() {
		return this.explanations;
	}

	JobView view(String explanation) {
		List<Assignment> placement = new ArrayList<>();
		if (this.current != null) {
			for (Member member : this.current.members) {
				placement.add(new Assignment(member.index, member.workerId));
			}
		}
		return new JobView(this.id, this.spec, phase(), this.lastAttempt, List.copyOf(placement), explanation,
				this.phaseSince);
	}

	JobView.Phase phase() {
		if (this.outcome != null) {
			return JobView.Phase.ENDED;
		}
		if (this.current == null) {
			return JobView.Phase.WAITING;
		}
		return switch (this.current.stage) {
			case AWAITING_EVICTION, COMMITTING, PREPARING, STARTING -> JobView.Phase.STARTING;
			case RUNNING -> JobView.Phase.RUNNING;
			case STOPPING, ABANDONED -> JobView.Phase.STOPPING;
		};
	}

}
