package org.almondmount.term;

import org.almondmount.model.InvalidValueException;

/**
 * The settings with which an entry takes part in terms. Immutable.
 *
 * @param self this run of this entry
 * @param address where it accepts peers
 * @param lengthMillis how long a term is valid after its last commit while the store is
 * slow; {@link TermLength} shortens it while commits are fast
 */
public record TermSettings(String self, String address, long lengthMillis) {

	/** The shortest length that leaves time for a renewal and its retry. */
	public static final long MIN_LENGTH_MILLIS = 400;

	/**
	 * Time without an announcement after which the holder counts as silent. The holder
	 * announces itself three times a second, so one announcement is missing.
	 */
	private static final long HOLDER_SILENCE_MILLIS = 450;

	private static final int READS_PER_LENGTH = 6;

	public TermSettings {
		if (lengthMillis < MIN_LENGTH_MILLIS) {
			throw new InvalidValueException("lengthMillis",
					"is " + lengthMillis + "; give at least " + MIN_LENGTH_MILLIS);
		}
	}

	/**
	 * Returns how often an entry reads the row while it receives no announcement of the
	 * holder.
	 * @return milliseconds
	 */
	public long readIntervalMillis() {
		return this.lengthMillis / READS_PER_LENGTH;
	}

	/**
	 * Returns the time without an announcement of the holder after which the row is read.
	 * @return milliseconds
	 */
	public long holderSilenceMillis() {
		return HOLDER_SILENCE_MILLIS;
	}

}
