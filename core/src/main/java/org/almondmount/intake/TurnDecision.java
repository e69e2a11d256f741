package org.almondmount.intake;

import java.time.Duration;

/**
 * What happens to a connection that has used up its processing allowance when it is its
 * turn.
 */
public enum TurnDecision {

	/** The connection reads on. */
	READ(Duration.ZERO),

	/**
	 * The call is refused. A caller that connects again at once costs another connection,
	 * so these refusals are spaced out.
	 */
	REFUSE(Duration.ofMillis(20));

	/** Memory that a call may hold in any case: more than ordinary calls need. */
	private static final long SMALL_CALL_BYTES = 16 << 10;

	/** Connections that wait for turns may hold one part in this many of the memory. */
	private static final long MEMORY_DIVISOR = 2;

	private final Duration rest;

	TurnDecision(Duration rest) {
		this.rest = rest;
	}

	/**
	 * Decides on a turn. Half of the memory is left to calls that need no turns, so that
	 * a crowd of slow calls does not push them out.
	 * @param usedBytes the memory that all calls hold
	 * @param capacityBytes the memory that there is for calls
	 * @param heldBytes the memory that the connection holds
	 * @return the decision
	 */
	public static TurnDecision of(long usedBytes, long capacityBytes, long heldBytes) {
		boolean isScarce = usedBytes > capacityBytes / MEMORY_DIVISOR;
		return (isScarce && heldBytes > SMALL_CALL_BYTES) ? REFUSE : READ;
	}

	/**
	 * Returns the minimum time until the next turn.
	 * @return the time
	 */
	public Duration rest() {
		return this.rest;
	}

}
