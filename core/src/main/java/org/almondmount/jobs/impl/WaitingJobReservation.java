package org.almondmount.jobs.impl;

import java.util.Set;

/**
 * Workers that are kept for a job that has waited. Others may use them only for work that
 * ends before the reserved room is complete. Immutable.
 *
 * @param job the job
 * @param workers the workers
 * @param readyAtMillis when the room is expected to be complete
 */
record WaitingJobReservation(JobState job, Set<WorkerNode> workers, long readyAtMillis) {

}
