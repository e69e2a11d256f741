package org.almondmount.term;

import org.almondmount.model.InvalidValueException;

/**
 * How an entry takes part in terms. Immutable.
 *
 * @param self this run of this entry
 * @param address where it accepts peers
 * @param lengthMillis how long a term goes on after its last commit while the store is
 * slow; {@link TermLength} shortens it where commits are quick
 */
public record TermSettings(String self, String address, long lengthMillis) {

	/** The shortest length that leaves room for a renewal and its retry. */
	public static final long MIN_LENGTH_MILLIS = 400;

	/** One missing word of the holder, which speaks three times a second. */
	private static final long HOLDER_SILENCE_MILLIS = 450;

	private static final int READS_PER_LENGTH = 6;

	public TermSettings {
		if (lengthMillis < MIN_LENGTH_MILLIS) {
			throw new InvalidValueException("lengthMillis",
					"is " + lengthMillis + "; give at least " + MIN_LENGTH_MILLIS);
		}
	}

	/**
	 * How often an entry looks at the row while it does not hear the holder.
	 * @return milliseconds
	 */
	public long readIntervalMillis() {
		return this.lengthMillis / READS_PER_LENGTH;
	}

	/**
	 * Silence of the holder after which the row is looked at.
	 * @return milliseconds
	 */
	public long holderSilenceMillis() {
		return HOLDER_SILENCE_MILLIS;
	}

}
