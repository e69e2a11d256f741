package org.almondmount.gang;

import java.util.List;

/**
 * The entrance to a worker's decisions about gang members. Deterministic; not
 * thread-safe.
 */
public interface MemberManager {

	/**
	 * Takes one event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	List<MemberCommand> handle(long nowMillis, MemberEvent event);

	/**
	 * The members that are held or running here, for heartbeats.
	 * @return the members
	 */
	List<HeldMember> heldMembers();

	/**
	 * The highest epoch whose orders were seen, for heartbeats.
	 * @return the epoch, 0 before the first order
	 */
	long highestEpoch();

}
