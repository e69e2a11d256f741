package org.almondmount.workflow;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * The times by which the workflow scheduler decides. Immutable.
 *
 * @param leaseMillis for how long what runs beside a target goes on after the target was
 * last granted its lease
 * @param maxSilenceMillis silence of a target after which its worker gets nothing new
 * @param orderRetryMillis after which an order of which nothing was heard is sent again
 * @param refusalPauseMillis how long a worker that refused a run gets nothing new
 * @param stopTimeoutMillis how long a worker takes at most to end a run
 * @param endedJobRetentionMillis how long callers can ask for a job that has ended
 * @param checkpointing how workers keep the progress of tasks
 * @param features what it does beyond its promises
 */
public record SchedulerPolicy(long leaseMillis, long maxSilenceMillis, long orderRetryMillis, long refusalPauseMillis,
		long stopTimeoutMillis, long endedJobRetentionMillis, Checkpointing checkpointing,
		Set<SchedulerFeature> features) {

	/**
	 * Two heartbeats of a target may be missing before it counts as silent, an order is
	 * repeated after the time in which nearly all are answered, and a refusing worker is
	 * looked at again in a third of a second. The slowest workers known take 0.9 s to end
	 * a run.
	 */
	public static final SchedulerPolicy DEFAULT = new SchedulerPolicy(6_000, 2_500, 800, 300, 900, 600_000,
			Checkpointing.DEFAULT, SchedulerFeature.ALL);

	/** A worker's clock may be 2 % slow, and a lease is measured on it. */
	private static final double MAX_CLOCK_SLOWDOWN = 1.02;

	/** Time for an end at the worker to take effect, in milliseconds. */
	private static final long RUN_END_MARGIN_MILLIS = 300;

	public SchedulerPolicy {
		features = features.isEmpty() ? Set.of() : Collections.unmodifiableSet(EnumSet.copyOf(features));
	}

	public SchedulerPolicy withLeaseMillis(long millis) {
		return new SchedulerPolicy(millis, this.maxSilenceMillis, this.orderRetryMillis, this.refusalPauseMillis,
				this.stopTimeoutMillis, this.endedJobRetentionMillis, this.checkpointing, this.features);
	}

	public SchedulerPolicy withStopTimeoutMillis(long millis) {
		return new SchedulerPolicy(this.leaseMillis, this.maxSilenceMillis, this.orderRetryMillis,
				this.refusalPauseMillis, millis, this.endedJobRetentionMillis, this.checkpointing, this.features);
	}

	public SchedulerPolicy withEndedJobRetentionMillis(long millis) {
		return new SchedulerPolicy(this.leaseMillis, this.maxSilenceMillis, this.orderRetryMillis,
				this.refusalPauseMillis, this.stopTimeoutMillis, millis, this.checkpointing, this.features);
	}

	public SchedulerPolicy withCheckpointing(Checkpointing newCheckpointing) {
		return new SchedulerPolicy(this.leaseMillis, this.maxSilenceMillis, this.orderRetryMillis,
				this.refusalPauseMillis, this.stopTimeoutMillis, this.endedJobRetentionMillis, newCheckpointing,
				this.features);
	}

	public SchedulerPolicy withFeatures(Set<SchedulerFeature> enabledFeatures) {
		return new SchedulerPolicy(this.leaseMillis, this.maxSilenceMillis, this.orderRetryMillis,
				this.refusalPauseMillis, this.stopTimeoutMillis, this.endedJobRetentionMillis, this.checkpointing,
				enabledFeatures);
	}

	public SchedulerPolicy without(SchedulerFeature feature) {
		Set<SchedulerFeature> remaining = EnumSet.copyOf(SchedulerFeature.ALL);
		remaining.retainAll(this.features);
		remaining.remove(feature);
		return withFeatures(remaining);
	}

	public boolean isEnabled(SchedulerFeature feature) {
		return this.features.contains(feature);
	}

	/**
	 * After which silence all that ran beside a target has surely ended.
	 * @return milliseconds since it was last granted its lease
	 */
	public long lapsedAfterMillis() {
		return (long) (this.leaseMillis * MAX_CLOCK_SLOWDOWN) + RUN_END_MARGIN_MILLIS;
	}

}
