package org.almondmount.lease;

import java.util.List;

/**
 * Acquires, renews and releases the scheduler's lease. Deterministic; not thread-safe: it
 * is used by one duty only. Times are milliseconds of the driver's own monotonic clock;
 * clocks of two processes are never compared.
 */
public interface LeaseManager {

	/** The value of {@link #validUntilMillis()} while the lease is not held. */
	long NOT_HELD = Long.MIN_VALUE;

	/**
	 * Handles one event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event the event
	 * @return the commands to execute, in order
	 */
	List<LeaseCommand> handle(long nowMillis, LeaseEvent event);

	/**
	 * Returns until when this entry may act as holder. The driver compares it with its
	 * clock immediately before each effect: after a pause of the process the lease may
	 * have expired before any event reports it.
	 * @return a time of the driver's clock, or {@link #NOT_HELD}
	 */
	long validUntilMillis();

	/**
	 * Returns the epoch under which this entry holds the lease.
	 * @return the epoch, 0 while it does not hold it
	 */
	long epoch();

}
