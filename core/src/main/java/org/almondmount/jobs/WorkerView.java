package org.almondmount.jobs;

import org.almondmount.model.Resources;
import org.almondmount.model.WorkerInfo;

/**
 * The scheduler's view of a worker, for listings.
 *
 * @param worker the location and capacity of the worker
 * @param free the resources that are neither used nor held
 * @param state {@code up}, {@code leaving}, {@code quarantined} or {@code probation}
 * @param tasks the number of members that are placed on the worker
 */
public record WorkerView(WorkerInfo worker, Resources free, String state, int tasks) {

}
