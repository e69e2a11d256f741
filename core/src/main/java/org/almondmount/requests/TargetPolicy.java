package org.almondmount.requests;

import java.time.Duration;

/**
 * How targets are eased in, ejected and tried again. Immutable.
 *
 * @param slowStart time over which a fresh target's slots are opened
 * @param slowStartShare the share of its slots that is open at once, above 0 up to 1
 * @param consecutiveErrorsToEject errors in a row after which a target is ejected
 * @param stallTimeout silence of a target with attempts in flight after which it is
 * ejected, unless its usual time is longer
 * @param stallFactor how many times its usual time an attempt may take before it counts
 * as stalled
 * @param baseEjectionTime the first ejection; each further one in a row doubles it
 * @param maxEjectionTime the longest ejection
 * @param maxEjectedShare the share of targets that may be ejected at the same time
 */
public record TargetPolicy(Duration slowStart, double slowStartShare, int consecutiveErrorsToEject,
		Duration stallTimeout, double stallFactor, Duration baseEjectionTime, Duration maxEjectionTime,
		double maxEjectedShare) {

	/** The options that hold where nothing else is said. */
	public static final TargetPolicy DEFAULT = new TargetPolicy(Duration.ofSeconds(5), 0.25, 5, Duration.ofSeconds(1),
			8, Duration.ofSeconds(5), Duration.ofSeconds(60), 0.34);

	public TargetPolicy withSlowStart(Duration time, double share) {
		return new TargetPolicy(time, share, this.consecutiveErrorsToEject, this.stallTimeout, this.stallFactor,
				this.baseEjectionTime, this.maxEjectionTime, this.maxEjectedShare);
	}

	public TargetPolicy withErrorsToEject(int errors) {
		return new TargetPolicy(this.slowStart, this.slowStartShare, errors, this.stallTimeout, this.stallFactor,
				this.baseEjectionTime, this.maxEjectionTime, this.maxEjectedShare);
	}

	public TargetPolicy withMaxEjectedShare(double share) {
		return new TargetPolicy(this.slowStart, this.slowStartShare, this.consecutiveErrorsToEject, this.stallTimeout,
				this.stallFactor, this.baseEjectionTime, this.maxEjectionTime, share);
	}

}
