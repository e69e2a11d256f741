package org.almondmount.term;

import org.almondmount.model.InvalidValueException;

/**
 * How an entry takes part in terms. Immutable.
 *
 * @param self this run of this entry
 * @param address where it accepts peers
 * @param lengthMillis how long a term goes on after its last commit
 */
public record TermSettings(String self, String address, long lengthMillis) {

	/** The shortest length that leaves room for a renewal and its retry. */
	public static final long SHORTEST_MILLIS = 400;

	private static final int RENEWALS_A_LENGTH = 4;

	private static final int MARGIN_PARTS = 8;

	/** Two missing words of the holder, which speaks three times a second. */
	private static final long QUIET_MILLIS = 900;

	private static final int LOOKS_A_LENGTH = 6;

	public TermSettings {
		if (lengthMillis < SHORTEST_MILLIS) {
			throw new InvalidValueException("lengthMillis",
					"is " + lengthMillis + "; give at least " + SHORTEST_MILLIS);
		}
	}

	public long renewEveryMillis() {
		return this.lengthMillis / RENEWALS_A_LENGTH;
	}

	/**
	 * For how long after a commit was sent its holder may act: an eighth less than others
	 * wait, which is more than clocks of two machines differ within one length.
	 * @return milliseconds
	 */
	public long validForMillis() {
		return this.lengthMillis - this.lengthMillis / MARGIN_PARTS;
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
