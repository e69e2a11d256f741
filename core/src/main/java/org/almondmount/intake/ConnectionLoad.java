package org.almondmount.intake;

/**
 * What a caller's connection occupies at this moment.
 *
 * @param authenticated whether the call that is being received carries a valid key
 * @param hasPendingCall whether a complete call of the connection has not been answered
 * yet
 * @param heldBytes the memory of calls and answers of the connection
 * @param stalledMillis the time since the connection last completed a call or had an
 * answer read, in milliseconds
 */
public record ConnectionLoad(boolean authenticated, boolean hasPendingCall, long heldBytes, long stalledMillis) {

	/** How much longer a caller with a valid key may stall than one without. */
	private static final long AUTHENTICATED_ADVANTAGE = 8;

	/**
	 * Returns whether the connection may be closed without losing the answer to a call
	 * that may have run.
	 * @return true if no complete call is pending
	 */
	boolean isEvictable() {
		return !this.hasPendingCall;
	}

	/**
	 * Returns how much memory the connection has occupied for how long.
	 * @return the product of bytes and milliseconds, less for a caller with a valid key
	 */
	long occupancy() {
		return this.heldBytes * (1 + stall());
	}

	/**
	 * Returns how long the connection has made no progress.
	 * @return milliseconds, less for a caller with a valid key
	 */
	long stall() {
		return this.authenticated ? this.stalledMillis / AUTHENTICATED_ADVANTAGE : this.stalledMillis;
	}

}
