package org.almondmount.model;

/**
 * The location and the capacity of a worker.
 *
 * @param id its name
 * @param zone its availability zone
 * @param rack its rack
 * @param capacity its total resources, used or not
 */
public record WorkerInfo(WorkerId id, ZoneId zone, RackId rack, Resources capacity) {

}
