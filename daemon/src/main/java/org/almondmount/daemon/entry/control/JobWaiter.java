package org.almondmount.daemon.entry.control;

/**
 * A call that waits for a job's ending.
 *
 * @param responder the place for its answer
 * @param untilMillis when it is answered with the job as it then stands
 * @param lateStatus the status of that answer
 */
record JobWaiter(Responder responder, long untilMillis, int lateStatus) {

}
