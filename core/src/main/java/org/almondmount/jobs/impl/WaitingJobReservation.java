package org.almondmount.jobs.impl;

import java.util.Set;

/**
 * Workers that are reserved for a job that has waited. Other jobs may use them only for
 * work that is expected to end before the reserved capacity is complete. Immutable.
 *
 * @param job the job
 * @param workers the workers
 * @param readyAtMillis when the capacity is expected to be complete
 */
record WaitingJobReservation(JobState job, Set<WorkerNode> workers, long readyAtMillis) {

}
