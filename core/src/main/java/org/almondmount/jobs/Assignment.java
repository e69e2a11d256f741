package org.almondmount.jobs;

import org.almondmount.model.WorkerId;

/**
 * A gang member and the worker that it is assigned to.
 *
 * @param member the index of the member, starting at 0
 * @param worker the assigned worker
 */
public record Assignment(int member, WorkerId worker) {

}
