package org.almondmount.slots;

import java.util.List;

/**
 * Decides which attempts a target runs and how many slots each entry may use.
 * Deterministic; not thread-safe.
 */
public interface SlotGate {

	/**
	 * Handles an event.
	 * @param nowMillis the driver's monotonic time in milliseconds
	 * @param event what happened
	 * @return the commands to execute, in order
	 */
	List<SlotCommand> handle(long nowMillis, SlotEvent event);

	/**
	 * Number of slots in use.
	 * @return the number of running attempts
	 */
	int inUse();

}
