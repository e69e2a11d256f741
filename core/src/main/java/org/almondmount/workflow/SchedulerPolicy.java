package org.almondmount.workflow;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * The time limits and optional features of the workflow scheduler. Immutable.
 *
 * @param leaseMillis how long the runs beside a target continue after the last grant of
 * the target's lease
 * @param maxSilenceMillis the time without a sign of life from a target after which its
 * worker gets no new runs
 * @param orderRetryMillis the time after which a command without an answer is sent again
 * @param refusalPauseMillis how long a worker that refused a run gets no new runs
 * @param stopTimeoutMillis the maximum time that a worker takes to end a run
 * @param endedJobRetentionMillis how long the status of an ended job can be queried
 * @param checkpointing the times of checkpointing
 * @param features the enabled features
 */
public record SchedulerPolicy(long leaseMillis, long maxSilenceMillis, long orderRetryMillis, long refusalPauseMillis,
		long stopTimeoutMillis, long endedJobRetentionMillis, Checkpointing checkpointing,
		Set<SchedulerFeature> features) {

	/**
	 * The default policy. A target may miss two heartbeats before it counts as silent. A
	 * command is repeated after the time in which nearly all commands are answered, and a
	 * worker that refused a run is considered again after a third of a second. The
	 * slowest workers known take 0.9 s to end a run.
	 */
	public static final SchedulerPolicy DEFAULT = new SchedulerPolicy(6_000, 2_500, 800, 300, 900, 600_000,
			Checkpointing.DEFAULT, SchedulerFeature.DEFAULTS);

	/** Leases are timed by the worker's clock, which may be 2 % slow. */
	private static final double MAX_CLOCK_SLOWDOWN = 1.02;

	/** The time until the end of a run takes effect at the worker, in milliseconds. */
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
	 * Returns the time after which all runs beside a silent target are certain to have
	 * ended.
	 * @return milliseconds since the last grant of the target's lease
	 */
	public long lapsedAfterMillis() {
		return (long) (this.leaseMillis * MAX_CLOCK_SLOWDOWN) + RUN_END_MARGIN_MILLIS;
	}

}
