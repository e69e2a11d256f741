package org.almondmount.worker;

import java.util.List;

import org.almondmount.workflow.TaskId;
import org.almondmount.workflow.WorkerLife;
import org.almondmount.workflow.WorkerReport;

/**
 * Everything that the keeper of a worker asks its driver to do, in order.
 */
public sealed interface WorkerCommand {

	/**
	 * Look at the worker and renew its lease.
	 *
	 * @param pollNumber the look's number
	 * @param incarnation the life that is meant, {@link WorkerLife#NONE} for whichever is
	 * there
	 * @param epoch the epoch that the worker is to obey
	 * @param acknowledgedEnd ends up to that number may be forgotten
	 * @param leaseUntilMillis the end of the lease by the worker's clock, 0 to renew
	 * nothing
	 * @param maxWaitMillis how long the worker may wait for an end before it answers
	 */
	record Poll(long pollNumber, WorkerLife incarnation, long epoch, long acknowledgedEnd, long leaseUntilMillis,
			long maxWaitMillis) implements WorkerCommand {
	}

	/** Have the worker begin a run; the lease ends at that time of the worker's clock. */
	record Start(WorkerLife incarnation, long epoch, TaskId task, int run, String program, String checkpoint,
			long leaseUntilMillis) implements WorkerCommand {
	}

	/** Have the worker end a run. */
	record Stop(WorkerLife incarnation, long epoch, TaskId task, int run) implements WorkerCommand {
	}

	/**
	 * Tell the holder that this process lives.
	 *
	 * @param heartbeat its number, or {@link #WORKER_SILENT} where the worker does not
	 * answer
	 */
	record SendHeartbeat(long heartbeat) implements WorkerCommand {

		/** This process lives, and nothing is known of the worker. */
		public static final long WORKER_SILENT = 0;

	}

	/** Tell the holder of the worker. */
	record SendReport(WorkerReport report) implements WorkerCommand {
	}

	/** Tell the holder that a run was not begun and never will be. */
	record SendRunNotStarted(TaskId task, int run, String reason) implements WorkerCommand {
	}

	/**
	 * Count an order that is not carried out.
	 *
	 * @param orderKind the kind of order
	 * @param task the task that it is about
	 * @param run the task's run
	 * @param epoch the epoch of the holder that sent it
	 * @param reason the reason
	 */
	record IgnoreOrder(String orderKind, TaskId task, int run, long epoch,
			IgnoredReason reason) implements WorkerCommand {
	}

	/**
	 * Count a worker that ended without notice, with what was at work there.
	 *
	 * @param incarnation the life that ended
	 * @param runs the runs whose start the worker had answered, or that it had listed
	 */
	record CountCrash(WorkerLife incarnation, List<WorkerReport.Crashed> runs) implements WorkerCommand {

		public CountCrash {
			runs = List.copyOf(runs);
		}

	}

	/** A decision that an administrator may want to read later. */
	record LogDecision(String event, Object[] keysAndValues) implements WorkerCommand {

		static LogDecision of(String event, Object... keysAndValues) {
			return new LogDecision(event, keysAndValues);
		}

	}

}
