package org.almondmount.workflow;

import java.util.Set;

/**
 * The properties that a worker reports about itself. Immutable.
 *
 * @param incarnation the worker and its incarnation
 * @param pool the pool that the worker belongs to
 * @param zone the availability zone of the worker
 * @param labels the labels that name the worker's kind and rack
 * @param capacity the total resources of the worker
 * @param draining whether the worker is about to leave and accepts no new runs
 * @param remainingMillis the time that a draining worker is certain to stay, in
 * milliseconds
 */
public record WorkerDescription(WorkerIncarnation incarnation, String pool, String zone, Set<String> labels,
		ResourceAmount capacity, boolean draining, long remainingMillis) {

	private static final String RACK_PREFIX = "r";

	public WorkerDescription {
		labels = Set.copyOf(labels);
	}

	/**
	 * Returns the rack of the worker, taken from a label such as {@code r1-3}.
	 * @return the rack, or the worker's identifier if no label names a rack
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
