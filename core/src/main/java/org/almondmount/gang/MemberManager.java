package org.almondmount.gang;

import java.util.List;

/**
 * Manages the gang members of one worker. Deterministic; not thread-safe.
 */
public interface MemberManager {

	/**
	 * Handles one event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event the event
	 * @return the commands to execute, in order
	 */
	List<MemberCommand> handle(long nowMillis, MemberEvent event);

	/**
	 * Returns the members that are held or running on this worker, for heartbeats.
	 * @return the members
	 */
	List<HeldMember> heldMembers();

	/**
	 * Returns the highest epoch from which an order was received, for heartbeats.
	 * @return the epoch, 0 before the first order
	 */
	long highestEpoch();

}
