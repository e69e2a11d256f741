package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how run times relate to callers' estimates. Mutable; owned by the scheduler, and
 * reset at the end of its term.
 * <p>
 * Callers' estimates are accurate in one queue and wrong by a factor of ten in another,
 * where the usual run time of the queue is a better estimate than any caller's. For each
 * queue, the run time is therefore fitted to the estimate by linear regression on a
 * logarithmic scale. The initial line takes estimates as correct, and it then follows the
 * observed run times.
 */
final class RunTimeEstimator {

	/**
	 * Number of tasks after which the observations weigh as much as the prior: about as
	 * many as run in the first seconds of a term.
	 */
	private static final double PRIOR_WEIGHT = 4;

	/** Spread of the estimates that the prior assumes: a factor of e. */
	private static final double PRIOR_SPREAD = 1;

	/** Weight of an observation relative to the next one. */
	private static final double DECAY_FACTOR = 0.98;

	private final Map<String, WeightedLinearFit> fitsByQueue = new HashMap<>();

	/**
	 * Records a task that ran from its beginning to its end.
	 * @param queue its queue
	 * @param estimateMillis the caller's estimate
	 * @param millis the actual run time
	 */
	void addSample(String queue, long estimateMillis, long millis) {
		if (estimateMillis > 0 && millis > 0) {
			this.fitsByQueue.computeIfAbsent(queue, (name) -> new WeightedLinearFit())
				.add(Math.log(estimateMillis), Math.log(millis));
		}
	}

	/**
	 * Estimates the run time of a task.
	 * @param queue its queue
	 * @param estimateMillis the caller's estimate, 0 for none
	 * @return milliseconds, 0 if nothing is known
	 */
	long expected(String queue, long estimateMillis) {
		WeightedLinearFit fit = this.fitsByQueue.get(queue);
		if (fit == null || estimateMillis <= 0) {
			return estimateMillis;
		}
		return Math.round(Math.exp(fit.predict(Math.log(estimateMillis))));
	}

	void clear() {
		this.fitsByQueue.clear();
	}

	/**
	 * A linear regression over weighted points, with the diagonal as its prior.
	 */
	private static final class WeightedLinearFit {

		private double weight;

		private double sumX;

		private double sumY;

		private double sumXx;

		private double sumXy;

		void add(double x, double y) {
			this.weight = this.weight * DECAY_FACTOR + 1;
			this.sumX = this.sumX * DECAY_FACTOR + x;
			this.sumY = this.sumY * DECAY_FACTOR + y;
			this.sumXx = this.sumXx * DECAY_FACTOR + x * x;
			this.sumXy = this.sumXy * DECAY_FACTOR + x * y;
		}

		// The prior is a set of points on the diagonal around the mean of the estimates,
		// so that a queue with similar estimates does not tilt the line.
		double predict(double x) {
			double meanX = this.sumX / this.weight;
			double meanY = (this.sumY + PRIOR_WEIGHT * meanX) / (this.weight + PRIOR_WEIGHT);
			double prior = PRIOR_WEIGHT * PRIOR_SPREAD * PRIOR_SPREAD;
			double scatterX = this.sumXx - this.weight * meanX * meanX + prior;
			double scatterXy = this.sumXy - meanX * this.sumY + prior;
			return meanY + scatterXy / scatterX * (x - meanX);
		}

	}

}
