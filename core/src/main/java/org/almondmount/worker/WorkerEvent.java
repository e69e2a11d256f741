package org.almondmount.worker;

import java.util.List;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * The events that the manager of a worker handles. Immutable.
 */
public sealed interface WorkerEvent {

	/**
	 * A description of the worker was received, possibly from another sender.
	 *
	 * @param description the description in the announcement
	 * @param announcementNumber counts the announcements of this incarnation of the
	 * worker
	 */
	record WorkerAnnounced(WorkerDescription description, long announcementNumber) implements WorkerEvent {
	}

	/** The worker announced that it shuts down now. */
	record WorkerLeaving(String worker) implements WorkerEvent {
	}

	/**
	 * The holder of the term was connected, for the first time or after a lost
	 * connection.
	 */
	record HolderConnected(long epoch) implements WorkerEvent {
	}

	/** The connection to the holder is lost. */
	record HolderDisconnected() implements WorkerEvent {
	}

	/** The holder grants the lease, counted from when that heartbeat was sent. */
	record LeaseGranted(long epoch, long heartbeat, long leaseMillis) implements WorkerEvent {
	}

	/**
	 * The holder orders a run to be started.
	 *
	 * @param epoch the holder's epoch
	 * @param heartbeat the last heartbeat that the holder had received
	 * @param incarnation the incarnation of the worker for which the order is meant
	 * @param task the task
	 * @param run the run's number
	 * @param program the program to run
	 * @param checkpoint the checkpoint to continue from, or empty
	 * @param capacity the capacity of the worker that the holder assumed
	 */
	record StartOrdered(long epoch, long heartbeat, WorkerIncarnation incarnation, TaskId task, int run, String program,
			String checkpoint, ResourceAmount capacity) implements WorkerEvent {
	}

	/** The holder orders a run to be stopped, or never to be started. */
	record StopOrdered(long epoch, WorkerIncarnation incarnation, TaskId task, int run) implements WorkerEvent {
	}

	/** The holder has recorded the ends up to that number. */
	record EndsRecorded(long epoch, WorkerIncarnation incarnation, long upTo) implements WorkerEvent {
	}

	/**
	 * The worker answered a poll.
	 *
	 * @param pollNumber the poll's number
	 * @param incarnation the incarnation that answered
	 * @param clockMillis the worker's clock when it answered
	 * @param running all active runs
	 * @param ended the runs that ended and were not acknowledged, the earliest first
	 * @param endsTruncated whether there may be further ends that are not listed; false
	 * unless it is given
	 */
	record PollAnswered(long pollNumber, WorkerIncarnation incarnation, long clockMillis,
			List<WorkerReport.Running> running, List<WorkerReport.Ended> ended,
			boolean endsTruncated) implements WorkerEvent {

		public PollAnswered {
			running = List.copyOf(running);
			ended = List.copyOf(ended);
		}

		public PollAnswered(long pollNumber, WorkerIncarnation incarnation, long clockMillis,
				List<WorkerReport.Running> running, List<WorkerReport.Ended> ended) {
			this(pollNumber, incarnation, clockMillis, running, ended, false);
		}

	}

	/**
	 * A poll that returned no lists: it was not answered, or the answer was an error or
	 * cannot be parsed.
	 *
	 * @param pollNumber the poll's number
	 * @param reason the reason
	 * @param workerAbsent whether the incarnation to which the poll was addressed was not
	 * there: the connection was refused, or another incarnation answered
	 */
	record PollFailed(long pollNumber, String reason, boolean workerAbsent) implements WorkerEvent {
	}

	/** The outcome of a call that starts a run. */
	record StartCallEnded(TaskId task, int run, CallOutcome outcome, String reason) implements WorkerEvent {
	}

	/** The outcome of a call that stops a run. */
	record StopCallEnded(TaskId task, int run, CallOutcome outcome) implements WorkerEvent {
	}

	/** Time has passed. */
	record Tick() implements WorkerEvent {
	}

	/**
	 * The outcome of a call to the worker.
	 */
	enum CallOutcome {

		/** The call was executed. */
		DONE,

		/** The call was refused and had no effect. */
		REFUSED,

		/** The call was not answered: it may have been executed, or may be later. */
		UNANSWERED

	}

}
