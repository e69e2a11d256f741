package org.almondmount.jobs.impl;

import java.util.LinkedHashMap;
import java.util.Map;

import org.almondmount.model.CustomerId;

/**
 * The waiting jobs of a customer and its current usage. Mutable, not thread-safe.
 */
final class CustomerQueue {

	private static final double SHARE_AVERAGING_MILLIS = 600_000;

	final CustomerId id;

	final Map<ShapeQueue.Key, ShapeQueue> shapes = new LinkedHashMap<>();

	/** The resources allocated to its members, including borrowed ones. */
	final ResourceSum used = new ResourceSum();

	double weight = 1;

	int waitingCount;

	/** The number of changes of its usage and of its guarantee reservations. */
	long changeCount;

	/** The exponential moving average of its share at {@link #averageShareAt}. */
	private double averageShare;

	private long averageShareAt;

	CustomerQueue(CustomerId id) {
		this.id = id;
	}

	/**
	 * Returns the customer's exponentially averaged share over the last minutes.
	 * @param now the time in milliseconds
	 * @param share the share since the last call of {@link #updateAverageShare}
	 * @return the average share
	 */
	double averageShare(long now, double share) {
		return share + (this.averageShare - share) * Math.exp(-(now - this.averageShareAt) / SHARE_AVERAGING_MILLIS);
	}

	/**
	 * Updates the average share; must be called before the share changes.
	 * @param now the time in milliseconds
	 * @param share the share before the change
	 */
	void updateAverageShare(long now, double share) {
		this.averageShare = averageShare(now, share);
		this.averageShareAt = now;
	}

	/**
	 * Returns the submission order of its first waiting job.
	 * @return the submission order, {@link Long#MAX_VALUE} if no job waits
	 */
	long firstSubmissionOrder() {
		long first = Long.MAX_VALUE;
		for (ShapeQueue queue : this.shapes.values()) {
			first = Math.min(first, queue.first().submissionOrder);
		}
		return first;
	}

}
