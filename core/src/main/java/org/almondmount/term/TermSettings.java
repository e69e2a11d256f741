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
	public static final long SHORTEST_MILLIS = 400;

	/** One missing word of the holder, which speaks three times a second. */
	private static final long QUIET_MILLIS = 450;

	private static final int LOOKS_A_LENGTH = 6;

	public TermSettings {
		if (lengthMillis < SHORTEST_MILLIS) {
			throw new InvalidValueException("lengthMillis",
					"is " + lengthMillis + "; give at least " + SHORTEST_MILLIS);
		}
	}

	/**
	 * How often an entry looks at the row while it does not hear the holder.
	 * @return milliseconds
	 */
	public long lookEveryMillis() {
		return this.lengthMillis / LOOKS_A_LENGTH;
	}

	/**
	 * Silence of the holder after which the row is looked at.
	 * @return milliseconds
	 */
	public long quietMillis() {
		return QUIET_MILLIS;
	}

}
