package org.almondmount.worker;

import java.util.List;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerLife;
import org.almondmount.workflow.WorkerReport;

/**
 * Everything that the keeper of a worker is told. Immutable.
 */
public sealed interface WorkerEvent {

	/**
	 * The worker described itself.
	 *
	 * @param description what it said
	 * @param announcementNumber counts what this life of the worker announces
	 */
	record WorkerAnnounced(WorkerDescription description, long announcementNumber) implements WorkerEvent {
	}

	/** The worker said that it ends now. */
	record WorkerLeaving(String worker) implements WorkerEvent {
	}

	/** A holder of the term was found, or found again after a lost connection. */
	record HolderConnected(long epoch) implements WorkerEvent {
	}

	/** The connection to the holder is gone. */
	record HolderDisconnected() implements WorkerEvent {
	}

	/** The holder grants the lease, counted from when that heartbeat was sent. */
	record LeaseGranted(long epoch, long heartbeat, long leaseMillis) implements WorkerEvent {
	}

	/**
	 * The holder orders a run to begin.
	 *
	 * @param epoch the holder's epoch
	 * @param heartbeat the last heartbeat that the holder had heard
	 * @param incarnation the life of the worker that it means
	 * @param task the task
	 * @param run the run's number
	 * @param program what to run
	 * @param checkpoint where to go on, or empty
	 * @param capacity the worker's capacity by which the holder chose it
	 */
	record StartOrdered(long epoch, long heartbeat, WorkerLife incarnation, TaskId task, int run, String program,
			String checkpoint, ResourceAmount capacity) implements WorkerEvent {
	}

	/** The holder orders a run to end, or never to begin. */
	record StopOrdered(long epoch, WorkerLife incarnation, TaskId task, int run) implements WorkerEvent {
	}

	/** Ends up to that number are kept. */
	record EndsRecorded(long epoch, WorkerLife incarnation, long upTo) implements WorkerEvent {
	}

	/**
	 * The worker answered a look.
	 *
	 * @param pollNumber the look's number
	 * @param incarnation the life that answered
	 * @param clockMillis the worker's clock when it answered
	 * @param running what runs
	 * @param ended what ended and was not acknowledged
	 */
	record PollAnswered(long pollNumber, WorkerLife incarnation, long clockMillis, List<WorkerReport.Running> running,
			List<WorkerReport.Ended> ended) implements WorkerEvent {

		public PollAnswered {
			running = List.copyOf(running);
			ended = List.copyOf(ended);
		}

	}

	/** The worker did not answer a look. */
	record PollFailed(long pollNumber, String reason) implements WorkerEvent {
	}

	/** What came of a call that begins a run. */
	record StartCallEnded(TaskId task, int run, CallOutcome outcome, String reason) implements WorkerEvent {
	}

	/** What came of a call that ends a run. */
	record StopCallEnded(TaskId task, int run, CallOutcome outcome) implements WorkerEvent {
	}

	/** Time has passed. */
	record Tick() implements WorkerEvent {
	}

	/**
	 * What came of a call to the worker.
	 */
	enum CallOutcome {

		/** It was done. */
		DONE,

		/** It was refused: nothing was done. */
		REFUSED,

		/** It was not answered: it may have been done, or may still be. */
		UNANSWERED

	}

}
