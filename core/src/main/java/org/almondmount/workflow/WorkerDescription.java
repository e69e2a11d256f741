package org.almondmount.workflow;

import java.util.Set;

/**
 * What a worker says of itself. Immutable.
 *
 * @param incarnation the worker and its life
 * @param pool the pool that it belongs to
 * @param zone its availability zone
 * @param labels its kind and its rack
 * @param capacity what it has
 * @param draining whether it is about to leave and takes nothing more
 * @param remainingMillis the time that is surely left while it drains
 */
public record WorkerDescription(WorkerIncarnation incarnation, String pool, String zone, Set<String> labels,
		ResourceAmount capacity, boolean draining, long remainingMillis) {

	private static final String RACK_PREFIX = "r";

	public WorkerDescription {
		labels = Set.copyOf(labels);
	}

	/**
	 * The rack: the label that names one, such as {@code r1-3}.
	 * @return the rack, or the worker's own identifier where no label names one
	 */
	public String rack() {
		for (String label : this.labels) {
			if (label.startsWith(RACK_PREFIX) && label.indexOf('-') > 0) {
				return label;
			}
		}
		return this.incarnation.worker();
	}

}
