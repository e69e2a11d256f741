package org.almondmount.worker;

/**
 * The times by which the keeper of a worker acts, in milliseconds. Immutable.
 *
 * @param heartbeatIntervalMillis between two heartbeats to the holder
 * @param pollWaitMillis how long a look may wait for an end
 * @param pollRetryPauseMillis pause after a look that was not answered
 * @param progressReportIntervalMillis between two reports that tell of nothing but
 * progress
 */
public record WorkerPolicy(long heartbeatIntervalMillis, long pollWaitMillis, long pollRetryPauseMillis,
		long progressReportIntervalMillis) {

	/**
	 * A heartbeat a second is a sixth of the shortest lease; progress is needed when work
	 * has to be resumed elsewhere, and shows tasks that stand still.
	 */
	public static final WorkerPolicy DEFAULT = new WorkerPolicy(1_000, 1_000, 200, 1_000);

}
