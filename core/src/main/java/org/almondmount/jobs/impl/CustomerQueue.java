package org.almondmount.jobs.impl;

import java.util.LinkedHashMap;
import java.util.Map;

import org.almondmount.model.CustomerId;

/**
 * One customer's waiting jobs and what it has now. Mutable, not thread-safe.
 */
final class CustomerQueue {

	private static final double SHARE_AVERAGING_MILLIS = 600_000;

	final CustomerId id;

	final Map<ShapeQueue.Key, ShapeQueue> shapes = new LinkedHashMap<>();

	/** What its members have or are promised, borrowed room included. */
	final ResourceSum used = new ResourceSum();

	double weight = 1;

	int waitingCount;

	/** Counts the changes of what it has and of its spots. */
	long changeCount;

	/**
	 * The weighted mean of its share over the last minutes, as of
	 * {@link #averageShareAt}.
	 */
	private double averageShare;

	private long averageShareAt;

	CustomerQueue(CustomerId id) {
		this.id = id;
	}

	/**
	 * Its mean share over the last minutes.
	 * @param now the time in milliseconds
	 * @param share its share since the last call of {@link #updateAverageShare}
	 * @return the mean
	 */
	double averageShare(long now, double share) {
		return share + (this.averageShare - share) * Math.exp(-(now - this.averageShareAt) / SHARE_AVERAGING_MILLIS);
	}

	/**
	 * Its share is about to change.
	 * @param now the time in milliseconds
	 * @param share its share until now
	 */
	void updateAverageShare(long now, double share) {
		this.averageShare = averageShare(now, share);
		this.averageShareAt = now;
	}

	/**
	 * The place in the order of submission of its first waiting job.
	 * @return the order, {@link Long#MAX_VALUE} if none waits
	 */
	long firstSubmissionOrder() {
		long first = Long.MAX_VALUE;
		for (ShapeQueue queue : this.shapes.values()) {
			first = Math.min(first, queue.first().submissionOrder);
		}
		return first;
	}

}
