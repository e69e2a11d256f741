package org.almondmount.workflow.speed;

/**
 * How the run times on one worker compare with those of like tasks on other workers.
 * Mutable; confined to its owner.
 * <p>
 * Each observation is the logarithm of a ratio of run times, so that a worker that takes
 * half of the usual time and one that takes twice the time lie equally far from the usual
 * speed. Newer observations weigh more, since a worker may turn slow for a while.
 */
public final class WorkerSpeed {

	/** Weight of an observation relative to the next one. */
	private static final double DECAY_FACTOR = 0.8;

	/** Number of observations from which a speed is known; like tasks differ a little. */
	private static final int MIN_OBSERVATIONS = 2;

	private int observations;

	private double sum;

	private double weight;

	/**
	 * Records an observation.
	 * @param logRatio the logarithm of the run time here over the usual one
	 */
	void record(double logRatio) {
		this.observations++;
		this.sum = this.sum * DECAY_FACTOR + logRatio;
		this.weight = this.weight * DECAY_FACTOR + 1;
	}

	/**
	 * Whether enough has been observed.
	 * @return whether {@link #slowness()} is meaningful
	 */
	public boolean isKnown() {
		return this.observations >= MIN_OBSERVATIONS;
	}

	/**
	 * Returns by how much the worker is slower than usual.
	 * @return the logarithm of the ratio of run times, negative for a fast worker, 0 if
	 * nothing has been observed
	 */
	public double slowness() {
		return (this.weight > 0) ? this.sum / this.weight : 0;
	}

}
