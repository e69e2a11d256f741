package org.almondmount.worker;

import java.util.List;

import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.WorkerReport;

/**
 * The commands that the manager of a worker returns to its driver, to be executed in
 * order.
 */
public sealed interface WorkerCommand {

	/**
	 * Polls the worker and renews its lease.
	 *
	 * @param pollNumber the poll's number
	 * @param incarnation the expected incarnation, {@link WorkerIncarnation#NONE} for any
	 * @param epoch the epoch that the worker has to obey
	 * @param acknowledgedEnd ends up to that number may be deleted
	 * @param leaseUntilMillis the end of the lease by the worker's clock, 0 to renew
	 * nothing
	 * @param maxWaitMillis how long the worker may wait for an end before it answers
	 */
	record Poll(long pollNumber, WorkerIncarnation incarnation, long epoch, long acknowledgedEnd, long leaseUntilMillis,
			long maxWaitMillis) implements WorkerCommand {
	}

	/**
	 * Makes the worker start a run; the lease ends at the given time of the worker's
	 * clock.
	 */
	record Start(WorkerIncarnation incarnation, long epoch, TaskId task, int run, String program, String checkpoint,
			long leaseUntilMillis) implements WorkerCommand {
	}

	/** Makes the worker end a run. */
	record Stop(WorkerIncarnation incarnation, long epoch, TaskId task, int run) implements WorkerCommand {
	}

	/**
	 * Sends a heartbeat of this process to the holder.
	 *
	 * @param heartbeat its number, or {@link #WORKER_SILENT} if the worker does not
	 * answer
	 */
	record SendHeartbeat(long heartbeat) implements WorkerCommand {

		/** This process is alive, and the state of the worker is unknown. */
		public static final long WORKER_SILENT = 0;

	}

	/** Sends a report about the worker to the holder. */
	record SendReport(WorkerReport report) implements WorkerCommand {
	}

	/** Informs the holder that a run was not started and never will be. */
	record SendRunNotStarted(TaskId task, int run, String reason) implements WorkerCommand {
	}

	/**
	 * Counts an order that is not executed.
	 *
	 * @param orderKind the kind of order
	 * @param task the task of the order
	 * @param run the task's run
	 * @param epoch the epoch of the holder that sent it
	 * @param reason the reason
	 */
	record IgnoreOrder(String orderKind, TaskId task, int run, long epoch,
			IgnoredReason reason) implements WorkerCommand {
	}

	/**
	 * Counts an announcement that is not used.
	 *
	 * @param announced the announced incarnation
	 * @param incarnation the incarnation that the worker is known to be
	 * @param reason the reason
	 */
	record RefuseAnnouncement(WorkerIncarnation announced, WorkerIncarnation incarnation,
			AnnouncementRefusal reason) implements WorkerCommand {
	}

	/**
	 * Counts a worker that ended without notice, with the runs that were active on it.
	 *
	 * @param incarnation the incarnation that ended
	 * @param runs the runs whose start the worker had answered, or that it had listed
	 */
	record CountCrash(WorkerIncarnation incarnation, List<WorkerReport.Crashed> runs) implements WorkerCommand {

		public CountCrash {
			runs = List.copyOf(runs);
		}

	}

	/** Logs a decision that an administrator may want to look up later. */
	record LogDecision(String event, Object[] keysAndValues) implements WorkerCommand {

		static LogDecision of(String event, Object... keysAndValues) {
			return new LogDecision(event, keysAndValues);
		}

	}

}
