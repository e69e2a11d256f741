package org.almondmount.lease;

import org.almondmount.model.EntryId;
import org.almondmount.model.InvalidValueException;

/**
 * The settings with which an entry takes part in the lease. Immutable.
 *
 * @param self this run of this entry; never used by another run
 * @param address where this entry accepts peers
 * @param lengthMillis the lease's length, at least {@value #MIN_LENGTH_MILLIS}
 */
public record LeaseSettings(EntryId self, String address, long lengthMillis) {

	/** The shortest lease that leaves time for a renewal. */
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
	 * Returns the interval between renewals, and between an observer's reads.
	 * @return milliseconds
	 */
	public long renewalIntervalMillis() {
		return this.lengthMillis / RENEWALS_PER_LENGTH;
	}

	/**
	 * Returns how long after sending a renewal the holder may act. It is an eighth
	 * shorter than the length: monotonic clocks of two machines run at slightly different
	 * rates, and no clock drifts by an eighth within one length.
	 * @return milliseconds
	 */
	public long validForMillis() {
		return this.lengthMillis - this.lengthMillis / CLOCK_MARGIN_DIVISOR;
	}

}
