package org.almondmount.lease;

import java.util.List;

/**
 * The entrance to the decisions about the scheduler's lease. Deterministic; not
 * thread-safe: one duty owns it. Times are milliseconds of the driver's own monotonic
 * clock; clocks of two processes are never compared.
 */
public interface LeaseManager {

	/** The value of {@link #validUntilMillis()} while the lease is not held. */
	long NOT_HELD = Long.MIN_VALUE;

	/**
	 * Takes one event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	List<LeaseCommand> handle(long nowMillis, LeaseEvent event);

	/**
	 * Until when this entry may act as holder. A driver compares it with its clock right
	 * before each effect: a process that was paused finds out so, because no event has
	 * told it yet.
	 * @return a time of the driver's clock, or {@link #NOT_HELD}
	 */
	long validUntilMillis();

	/**
	 * The epoch under which this entry holds the lease.
	 * @return the epoch, 0 while it does not hold it
	 */
	long epoch();

}
