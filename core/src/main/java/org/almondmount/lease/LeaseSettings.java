package org.almondmount.lease;

import org.almondmount.model.EntryId;
import org.almondmount.model.InvalidValueException;

/**
 * How an entry takes part in the lease. Immutable.
 *
 * @param self this run of this entry; never used by another run
 * @param address where this entry accepts peers
 * @param lengthMillis the lease's length, at least {@value #MIN_LENGTH_MILLIS}
 */
public record LeaseSettings(EntryId self, String address, long lengthMillis) {

	/** The shortest lease that leaves room for a renewal. */
	public static final long MIN_LENGTH_MILLIS = 200;

	private static final int RENEWALS_PER_LENGTH = 4;

	private static final int CLOCK_MARGIN_DIVISOR = 8;

	public LeaseSettings {
		if (lengthMillis < MIN_LENGTH_MILLIS) {
			throw new InvalidValueException("lengthMillis",
					"is " + lengthMillis + "; give at least " + MIN_LENGTH_MILLIS);
		}
	}

	/**
	 * The interval between renewals, and between an observer's reads.
	 * @return milliseconds
	 */
	public long renewalIntervalMillis() {
		return this.lengthMillis / RENEWALS_PER_LENGTH;
	}

	/**
	 * How long after sending a renewal the holder may act. Shorter than the length by an
	 * eighth: two machines' monotonic clocks run at slightly different rates, and an
	 * eighth is more than any clock drifts within one length.
	 * @return milliseconds
	 */
	public long validForMillis() {
		return this.lengthMillis - this.lengthMillis / CLOCK_MARGIN_DIVISOR;
	}

}
