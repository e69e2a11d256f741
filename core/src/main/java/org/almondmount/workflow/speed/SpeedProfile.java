package org.almondmount.workflow.speed;

import java.util.Arrays;
import java.util.Collection;

/**
 * The speeds of all workers, divided into fast ones and the others. Immutable.
 * <p>
 * The division matters only where workers differ so much that a job with a tight
 * objective is in time on some of them and late on others after the smallest delay. Small
 * differences are ignored: they are within the error of the estimates, and preferring
 * single workers costs room.
 */
public final class SpeedProfile {

	/** A profile in which all workers have the usual speed. */
	public static final SpeedProfile EVEN = new SpeedProfile(false, Double.NEGATIVE_INFINITY);

	/**
	 * Ratio of run times on the other workers and on fast ones from which speeds count as
	 * uneven.
	 */
	private static final double MIN_UNEVEN_RATIO = 1.75;

	/**
	 * Ratio of run times between the two kinds of workers that no worker has; without
	 * such a gap the differences are those of the tasks.
	 */
	private static final double MIN_GAP_RATIO = 1.25;

	/**
	 * Minimum share of workers, on either side of the gap: a few may be mistaken or in
	 * trouble.
	 */
	private static final double MIN_KIND_SHARE = 0.1;

	private final boolean uneven;

	private final double fastLimit;

	private SpeedProfile(boolean differs, double limit) {
		this.uneven = differs;
		this.fastLimit = limit;
	}

	/**
	 * Creates the profile of a fleet.
	 * @param workers the speeds of its workers; those of which nothing is known are left
	 * out
	 * @return the profile
	 */
	public static SpeedProfile of(Collection<WorkerSpeed> workers) {
		double[] slowness = workers.stream()
			.filter(WorkerSpeed::isKnown)
			.mapToDouble(WorkerSpeed::slowness)
			.sorted()
			.toArray();
		int tail = Math.max(1, (int) Math.ceil(slowness.length * MIN_KIND_SHARE));
		if (slowness.length <= 2 * tail) {
			return EVEN;
		}
		int firstSlow = indexAfterWidestGap(slowness, tail);
		double gap = slowness[firstSlow] - slowness[firstSlow - 1];
		double difference = mean(slowness, firstSlow, slowness.length) - mean(slowness, 0, firstSlow);
		if (gap < Math.log(MIN_GAP_RATIO) || difference < Math.log(MIN_UNEVEN_RATIO)) {
			return EVEN;
		}
		return new SpeedProfile(true, slowness[firstSlow] - gap / 2);
	}

	private static int indexAfterWidestGap(double[] ascending, int tail) {
		int widest = tail;
		for (int i = tail; i <= ascending.length - tail; i++) {
			if (ascending[i] - ascending[i - 1] > ascending[widest] - ascending[widest - 1]) {
				widest = i;
			}
		}
		return widest;
	}

	private static double mean(double[] values, int from, int to) {
		return Arrays.stream(values, from, to).average().orElseThrow();
	}

	/**
	 * Whether workers differ enough to matter for placement.
	 * @return whether there are fast workers and others
	 */
	public boolean isUneven() {
		return this.uneven;
	}

	/**
	 * Whether a worker is one of the fast ones.
	 * @param worker its speed
	 * @return whether it is known to be fast; false for a worker that nothing is known of
	 */
	public boolean isFast(WorkerSpeed worker) {
		return this.uneven && worker.isKnown() && worker.slowness() < this.fastLimit;
	}

}
