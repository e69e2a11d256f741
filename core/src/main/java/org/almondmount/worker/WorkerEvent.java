package org.almondmount.worker;

import java.util.List;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * Everything that the keeper of a worker is told. Immutable.
 */
public sealed interface WorkerEvent {

	/**
	 * The worker described itself.
	 *
	 * @param worker what it said
	 * @param announcement counts what this life of the worker announces
	 */
	record Described(WorkerDescription worker, long announcement) implements WorkerEvent {
	}

	/** The worker said that it ends now. */
	record Left(String worker) implements WorkerEvent {
	}

	/** A holder of the term was found, or found again after a lost connection. */
	record HolderFound(long epoch) implements WorkerEvent {
	}

	/** The connection to the holder is gone. */
	record HolderGone() implements WorkerEvent {
	}

	/** The holder grants the lease, counted from when that heartbeat was sent. */
	record Granted(long epoch, long heartbeat, long leaseMillis) implements WorkerEvent {
	}

	/**
	 * The holder orders a run to begin.
	 *
	 * @param epoch the holder's epoch
	 * @param heartbeat the last heartbeat that the holder had heard
	 * @param life the life of the worker that it means
	 * @param task the task
	 * @param run the run's number
	 * @param program what to run
	 * @param checkpoint where to go on, or empty
	 * @param capacity the worker's capacity by which the holder chose it
	 */
	record StartOrdered(long epoch, long heartbeat, WorkerIncarnation life, TaskId task, int run, String program,
			String checkpoint, ResourceAmount capacity) implements WorkerEvent {
	}

	/** The holder orders a run to end, or never to begin. */
	record StopOrdered(long epoch, WorkerIncarnation life, TaskId task, int run) implements WorkerEvent {
	}

	/** Ends up to that number are kept. */
	record EndsKept(long epoch, WorkerIncarnation life, long upTo) implements WorkerEvent {
	}

	/**
	 * The worker answered a look.
	 *
	 * @param look the look's number
	 * @param life the life that answered
	 * @param clockMillis the worker's clock when it answered
	 * @param running what runs
	 * @param ended what ended and was not acknowledged
	 */
	record Looked(long look, WorkerIncarnation life, long clockMillis, List<WorkerReport.Running> running,
			List<WorkerReport.Ended> ended) implements WorkerEvent {

		public Looked {
			running = List.copyOf(running);
			ended = List.copyOf(ended);
		}

	}

	/** The worker did not answer a look. */
	record LookFailed(long look, String why) implements WorkerEvent {
	}

	/** What came of a call that begins a run. */
	record StartEnded(TaskId task, int run, CallEnding ending, String why) implements WorkerEvent {
	}

	/** What came of a call that ends a run. */
	record StopEnded(TaskId task, int run, CallEnding ending) implements WorkerEvent {
	}

	/** Time has passed. */
	record Tick() implements WorkerEvent {
	}

	/**
	 * What came of a call to the worker.
	 */
	enum CallEnding {

		/** It was done. */
		DONE,

		/** It was refused: nothing was done. */
		REFUSED,

		/** It was not answered: it may have been done, or may still be. */
		UNANSWERED

	}

}
