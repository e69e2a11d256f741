package org.almondmount.jobs;

import java.util.EnumSet;
import java.util.Set;

/**
 * How the job scheduler decides: its features, times and limits. Immutable; changed by
 * {@code with} and {@code without}, which return a new policy.
 *
 * @param features the policies that are switched on
 * @param timeouts the times that bound each step
 * @param limits the bounds and thresholds
 */
public record JobPolicy(Set<JobFeature> features, JobTimeouts timeouts, JobLimits limits) {

	/** Everything on. */
	public static final JobPolicy DEFAULT = new JobPolicy(EnumSet.allOf(JobFeature.class), JobTimeouts.DEFAULT,
			JobLimits.DEFAULT);

	public JobPolicy {
		features = Set.copyOf(features);
	}

	public boolean isEnabled(JobFeature feature) {
		return this.features.contains(feature);
	}

	public JobPolicy with(JobFeature feature) {
		Set<JobFeature> changed = EnumSet.of(feature);
		changed.addAll(this.features);
		return new JobPolicy(changed, this.timeouts, this.limits);
	}

	public JobPolicy without(JobFeature feature) {
		Set<JobFeature> changed = EnumSet.noneOf(JobFeature.class);
		changed.addAll(this.features);
		changed.remove(feature);
		return new JobPolicy(changed, this.timeouts, this.limits);
	}

	public JobPolicy withTimeouts(JobTimeouts timeouts) {
		return new JobPolicy(this.features, timeouts, this.limits);
	}

	public JobPolicy withLimits(JobLimits limits) {
		return new JobPolicy(this.features, this.timeouts, limits);
	}

}
