package org.almondmount.workflow;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Everything that the workflow scheduler is told. Immutable; the time is passed beside
 * it.
 */
public sealed interface WorkflowEvent {

	/**
	 * This process may decide from now on.
	 *
	 * @param epoch the epoch of its term
	 * @param jobs every job that is kept
	 */
	record TermBegan(long epoch, List<StoredJob> jobs) implements WorkflowEvent {
	}

	/** This process may no longer decide; all that is in memory is void. */
	record TermEnded() implements WorkflowEvent {
	}

	/** Queues and customers, whole. */
	record ConfigurationChanged(FleetConfiguration configuration) implements WorkflowEvent {
	}

	/** The zones that operators have taken out, whole. */
	record ZonesOutChanged(Set<String> zones) implements WorkflowEvent {
	}

	/** A job was accepted and is kept. A repeat is harmless. */
	record JobAccepted(Workflow job) implements WorkflowEvent {
	}

	/** The caller wants the job gone. */
	record CancelRequested(String job) implements WorkflowEvent {
	}

	/** A worker was looked at. */
	record WorkerReported(WorkerReport report) implements WorkflowEvent {
	}

	/** The process beside a worker was heard and holds a lease from now on. */
	record WorkerHeartbeat(String target) implements WorkflowEvent {
	}

	/** A run was not begun on that worker and never will be. */
	record RunRefused(String target, TaskId task, int run, String reason) implements WorkflowEvent {
	}

	/** What was asked to be kept is kept. */
	record Persisted(long sequence) implements WorkflowEvent {
	}

	/** Nothing is kept of these jobs any more. */
	record JobsDeleted(List<String> jobs) implements WorkflowEvent {
	}

	/** Waiting work is to be placed now; nothing else places it. */
	record PlacementDue() implements WorkflowEvent {
	}

	/** Time has passed. */
	record Tick() implements WorkflowEvent {
	}

	/**
	 * A job with what is kept of its progress.
	 *
	 * @param job the job
	 * @param progress what is kept, empty for a job on which nothing was done
	 * @param cancelled whether its caller wants it gone
	 */
	record StoredJob(Workflow job, Optional<JobRecord> progress, boolean cancelled) {
	}

}
