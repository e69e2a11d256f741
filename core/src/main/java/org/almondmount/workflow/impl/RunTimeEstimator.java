package org.almondmount.workflow.impl;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long tasks run from the guesses that came with them. Mutable; owned by the
 * scheduler, and void at the end of its term.
 * <p>
 * Callers' guesses are good in one queue and off by ten times in another, where a task of
 * the queue's usual length is a better guess than any that a caller makes. So the run
 * time is fitted to the guess for each queue, on a logarithmic scale, as a straight line
 * that begins as "the guess is right" and follows what is seen.
 */
final class RunTimeEstimator {

	/**
	 * How many tasks it takes until what was seen counts as much as the beginning: about
	 * as many as run in the first seconds of a term.
	 */
	private static final double PRIOR_WEIGHT = 4;

	/** Spread of guesses that is taken for granted at the beginning: a factor of e. */
	private static final double PRIOR_SPREAD = 1;

	/** An earlier task counts this much of one that has just ended. */
	private static final double DECAY_FACTOR = 0.98;

	private final Map<String, WeightedLinearFit> fitsByQueue = new HashMap<>();

	/**
	 * Takes note of a task that ran from its beginning to its end.
	 * @param queue its queue
	 * @param estimateMillis the guess that came with it
	 * @param millis how long it ran
	 */
	void addSample(String queue, long estimateMillis, long millis) {
		if (estimateMillis > 0 && millis > 0) {
			this.fitsByQueue.computeIfAbsent(queue, (name) -> new WeightedLinearFit())
				.add(Math.log(estimateMillis), Math.log(millis));
		}
	}

	/**
	 * How long a task will probably run.
	 * @param queue its queue
	 * @param estimateMillis the guess that came with it, 0 for none
	 * @return milliseconds, 0 where nothing is known
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
	 * A line through weighted points, with the diagonal as its prior.
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

		// The prior is a set of points on the diagonal around the centre of the guesses,
		// so
		// that a queue with alike guesses does not tilt the line.
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
