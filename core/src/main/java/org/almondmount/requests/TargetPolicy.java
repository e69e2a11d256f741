package org.almondmount.requests;

import java.time.Duration;

/**
 * Options for slow start, ejection and probing of targets. Immutable.
 *
 * @param slowStart time over which the usable slots of a new target are increased to all
 * of its slots
 * @param slowStartShare share of the slots that a new target can use initially, above 0
 * up to 1
 * @param consecutiveErrorsToEject number of consecutive errors after which a target is
 * ejected
 * @param stallTimeout time without a message after which a target with attempts in flight
 * is ejected, unless the estimated time of these attempts is longer
 * @param stallFactor factor by which an attempt may exceed its estimated time before it
 * counts as stalled
 * @param baseEjectionTime duration of the first ejection; doubled by each consecutive
 * ejection
 * @param maxEjectionTime maximum duration of an ejection
 * @param maxEjectedShare maximum share of targets that are ejected at the same time
 */
public record TargetPolicy(Duration slowStart, double slowStartShare, int consecutiveErrorsToEject,
		Duration stallTimeout, double stallFactor, Duration baseEjectionTime, Duration maxEjectionTime,
		double maxEjectedShare) {

	/** The default options. */
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
