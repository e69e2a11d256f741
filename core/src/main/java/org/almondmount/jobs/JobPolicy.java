package org.almondmount.jobs;

import java.util.EnumSet;
import java.util.Set;

/**
 * The policy of the job scheduler: its features, timeouts and limits. Immutable;
 * {@code with} and {@code without} return a new policy.
 *
 * @param features the enabled features
 * @param timeouts the timeout of each step
 * @param limits the limits and thresholds
 */
public record JobPolicy(Set<JobFeature> features, JobTimeouts timeouts, JobLimits limits) {

	/** The default policy, with all features enabled. */
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
