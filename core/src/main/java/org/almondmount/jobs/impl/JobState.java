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
 * The state of a job. Mutable, not thread-safe.
 */
final class JobState {

	private static final int MAX_EXPLANATIONS = 12;

	final JobId id;

	final JobSpec spec;

	/** The job's position in the order of submission, unchanged when it is requeued. */
	final long submissionOrder;

	final long submittedAt;

	/** The number of the last attempt, 0 before the first attempt. */
	int lastAttempt;

	/** The current attempt, null while the job waits or after it has ended. */
	Gang current;

	/** Abandoned attempts whose resources are still allocated. */
	final List<Gang> abandonedGangs = new ArrayList<>(0);

	/** The queue in which the job waits, null if it is not queued. */
	ShapeQueue queue;

	boolean hasCheckpoint;

	JobOutcome outcome;

	long phaseSince;

	long notBefore;

	/** The number of failures of the customer's program. */
	int programFailures;

	/** The number of consecutive attempts that failed before they ran. */
	int consecutiveFailedStarts;

	int preemptions;

	long lastPreemptedAt = Long.MIN_VALUE;

	/** The total time that its attempts ran until they completed or were stopped. */
	long ranMillis;

	/**
	 * The capacity that was idle because the job could not start on it, in accelerator
	 * seconds.
	 */
	double idleAcceleratorSeconds;

	/** No workers are reserved before this time, because a reservation was overdue. */
	long noReservationBefore;

	/** Workers that could not run the job. */
	final Set<WorkerId> avoidedWorkers = new HashSet<>(0);

	/** Healthy workers on which the customer's program failed. */
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
	 * Whether other customers may preempt the job while it runs outside its owner's
	 * guarantee.
	 * @return false for non-repeatable work
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
