package org.almondmount.worker;

/**
 * The intervals and waits of the manager of a worker, in milliseconds. Immutable.
 *
 * @param heartbeatIntervalMillis interval between two heartbeats to the holder
 * @param pollWaitMillis how long a poll may wait for an end
 * @param pollRetryPauseMillis pause after a poll that was not answered
 * @param progressReportIntervalMillis interval between two reports that contain only
 * progress
 */
public record WorkerPolicy(long heartbeatIntervalMillis, long pollWaitMillis, long pollRetryPauseMillis,
		long progressReportIntervalMillis) {

	/**
	 * The defaults. A heartbeat interval of one second is a sixth of the shortest lease.
	 * Progress is needed to resume work on another worker, and shows tasks that make
	 * none.
	 */
	public static final WorkerPolicy DEFAULT = new WorkerPolicy(1_000, 1_000, 200, 1_000);

}
