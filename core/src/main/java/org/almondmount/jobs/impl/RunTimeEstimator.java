package org.almondmount.jobs.impl;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

import org.almondmount.model.JobSpec;

/**
 * Estimates run times per customer and job class from the jobs that ended. Declared run
 * times are inaccurate, so they are used only until a few jobs have ended. Bounded: the
 * least recently used class is evicted first. Not thread-safe.
 */
final class RunTimeEstimator {

	private static final int SAMPLES_PER_CLASS = 32;

	private static final int MIN_SAMPLES = 3;

	private static final int MAX_CLASSES = 10_000;

	private static final double QUANTILE = 0.8;

	/** The remaining share of the elapsed time for a job that outran the estimate. */
	private static final double OVERRUN_FACTOR = 0.5;

	private static final float LOAD_FACTOR = 0.75f;

	private final boolean learningEnabled;

	private final Map<ClassKey, Samples> classes = new LinkedHashMap<>(16, LOAD_FACTOR, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<ClassKey, Samples> eldest) {
			return size() > MAX_CLASSES;
		}

	};

	RunTimeEstimator(boolean learningEnabled) {
		this.learningEnabled = learningEnabled;
	}

	void recordRunTime(JobSpec spec, long millis) {
		this.classes.computeIfAbsent(key(spec), (key) -> new Samples()).add(millis);
	}

	/**
	 * Estimates the remaining run time of a job, from a high quantile of the recorded run
	 * times of its class.
	 * @param spec the job
	 * @param elapsedMillis how long the job has run already, in milliseconds
	 * @return the remaining time in milliseconds
	 */
	long remainingMillis(JobSpec spec, long elapsedMillis) {
		Samples samples = this.learningEnabled ? this.classes.get(key(spec)) : null;
		if (samples == null || samples.count < MIN_SAMPLES) {
			long declaredMillis = spec.declaredRunTime().toMillis();
			return (declaredMillis > elapsedMillis) ? declaredMillis - elapsedMillis
					: (long) (elapsedMillis * OVERRUN_FACTOR);
		}
		long expectedMillis = samples.quantileAbove(elapsedMillis);
		return (expectedMillis > elapsedMillis) ? expectedMillis - elapsedMillis
				: (long) (elapsedMillis * OVERRUN_FACTOR);
	}

	private static ClassKey key(JobSpec spec) {
		return new ClassKey(spec.customer().value(), spec.jobClass());
	}

	/**
	 * The last run times of a class, sorted on demand.
	 */
	private static final class Samples {

		private final long[] values = new long[SAMPLES_PER_CLASS];

		private int count;

		private int next;

		/** The sorted values, null after a change. */
		private long[] sorted;

		void add(long millis) {
			this.sorted = null;
			this.values[this.next] = millis;
			this.next = (this.next + 1) % SAMPLES_PER_CLASS;
			this.count = Math.min(SAMPLES_PER_CLASS, this.count + 1);
		}

		/**
		 * Returns the quantile of the samples that are longer than the elapsed time.
		 * @param elapsedMillis how long the job has run, in milliseconds
		 * @return the quantile in milliseconds, 0 if no sample is longer
		 */
		long quantileAbove(long elapsedMillis) {
			if (this.sorted == null) {
				this.sorted = Arrays.copyOf(this.values, this.count);
				Arrays.sort(this.sorted);
			}
			int first = 0;
			while (first < this.sorted.length && this.sorted[first] <= elapsedMillis) {
				first++;
			}
			int longerCount = this.sorted.length - first;
			if (longerCount == 0) {
				return 0;
			}
			return this.sorted[first + (int) Math.min(longerCount - 1L, (long) (longerCount * QUANTILE))];
		}

	}

	private record ClassKey(String customer, String jobClass) {

	}

}
