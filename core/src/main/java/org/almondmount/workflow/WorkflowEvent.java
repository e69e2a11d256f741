package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The input events of the workflow scheduler. Immutable; the time of an event is passed
 * separately.
 */
public sealed interface WorkflowEvent {

	/**
	 * A term of this process began; it may make decisions from now on.
	 *
	 * @param epoch the epoch of the term
	 * @param jobs all stored jobs
	 */
	record TermBegan(long epoch, List<StoredJob> jobs) implements WorkflowEvent {
	}

	/**
	 * The term of this process ended; it may make no more decisions, and its state in
	 * memory is invalid.
	 */
	record TermEnded() implements WorkflowEvent {
	}

	/** The configuration of queues and customers changed; carries all of it. */
	record ConfigurationChanged(FleetConfiguration configuration) implements WorkflowEvent {
	}

	/** The set of zones that operators have taken out changed; carries all of them. */
	record ZonesOutChanged(Set<String> zones) implements WorkflowEvent {
	}

	/** A job was accepted and stored. Repeated events have no effect. */
	record JobAccepted(Workflow job) implements WorkflowEvent {
	}

	/** The caller requested the cancellation of a job. */
	record CancelRequested(String job) implements WorkflowEvent {
	}

	/** A target reported the state of its worker. */
	record WorkerReported(WorkerReport report) implements WorkflowEvent {
	}

	/** The target beside a worker sent a heartbeat and holds a lease from now on. */
	record WorkerHeartbeat(String target) implements WorkflowEvent {
	}

	/** The worker did not start a run and never will. */
	record RunRefused(String target, TaskId task, int run, String reason) implements WorkflowEvent {
	}

	/** The records of a {@link WorkflowCommand.Persist} command are stored. */
	record Persisted(long sequence) implements WorkflowEvent {
	}

	/** All stored data of the jobs is deleted. */
	record JobsDeleted(List<String> jobs) implements WorkflowEvent {
	}

	/** A placement round is due. Waiting work is placed on this event only. */
	record PlacementDue() implements WorkflowEvent {
	}

	/** Time has passed. */
	record Tick() implements WorkflowEvent {
	}

	/**
	 * A job with its stored progress.
	 *
	 * @param job the job
	 * @param progress the stored progress, empty for a job without any
	 * @param cancelled whether the caller requested the cancellation of the job
	 */
	record StoredJob(Workflow job, Optional<JobRecord> progress, boolean cancelled) {
	}

}
