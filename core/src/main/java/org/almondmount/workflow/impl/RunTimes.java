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
final class RunTimes {

	/**
	 * How many tasks it takes until what was seen counts as much as the beginning: about
	 * as many as run in the first seconds of a term.
	 */
	private static final double BELIEF_IN_GUESSES = 4;

	/** Spread of guesses that is taken for granted at the beginning: a factor of e. */
	private static final double USUAL_SPREAD = 1;

	/** An earlier task counts this much of one that has just ended. */
	private static final double FADING = 0.98;

	private final Map<String, Line> lines = new HashMap<>();

	/**
	 * Takes note of a task that ran from its beginning to its end.
	 * @param queue its queue
	 * @param guessMillis the guess that came with it
	 * @param millis how long it ran
	 */
	void learn(String queue, long guessMillis, long millis) {
		if (guessMillis > 0 && millis > 0) {
			this.lines.computeIfAbsent(queue, (name) -> new Line()).add(Math.log(guessMillis), Math.log(millis));
		}
	}

	/**
	 * How long a task will probably run.
	 * @param queue its queue
	 * @param guessMillis the guess that came with it, 0 for none
	 * @return milliseconds, 0 where nothing is known
	 */
	long expected(String queue, long guessMillis) {
		Line line = this.lines.get(queue);
		if (line == null || guessMillis <= 0) {
			return guessMillis;
		}
		return Math.round(Math.exp(line.at(Math.log(guessMillis))));
	}

	void clear() {
		this.lines.clear();
	}

	/**
	 * A line through weighted points, with the diagonal as its prior.
	 */
	private static final class Line {

		private double weight;

		private double sumX;

		private double sumY;

		private double sumXx;

		private double sumXy;

		void add(double x, double y) {
			this.weight = this.weight * FADING + 1;
			this.sumX = this.sumX * FADING + x;
			this.sumY = this.sumY * FADING + y;
			this.sumXx = this.sumXx * FADING + x * x;
			this.sumXy = this.sumXy * FADING + x * y;
		}

		// The prior is a set of points on the diagonal around the centre of the guesses,
		// so
		// that a queue with alike guesses does not tilt the line.
		double at(double x) {
			double centre = this.sumX / this.weight;
			double meanY = (this.sumY + BELIEF_IN_GUESSES * centre) / (this.weight + BELIEF_IN_GUESSES);
			double prior = BELIEF_IN_GUESSES * USUAL_SPREAD * USUAL_SPREAD;
			double spread = this.sumXx - this.weight * centre * centre + prior;
			double together = this.sumXy - centre * this.sumY + prior;
			return meanY + together / spread * (x - centre);
		}

	}

}
