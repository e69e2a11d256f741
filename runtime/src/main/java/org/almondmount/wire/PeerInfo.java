package org.almondmount.wire;

import java.util.Optional;

import org.almondmount.model.WorkerInfo;

/**
 * The description of a process that it sends in the handshake.
 *
 * @param role entry or target
 * @param name the name of the process; entries get a new name at each start
 * @param address the address at which it accepts peers ({@code ip:port}); empty for
 * targets
 * @param zone its availability zone
 * @param worker the worker that belongs to a target; empty for entries
 * @param slots the number of slots of the instance, 0 for entries
 * @param incarnation number that increases with each start of the process of that name
 */
public record PeerInfo(Role role, String name, String address, String zone, Optional<WorkerInfo> worker, int slots,
		long incarnation) {

	/**
	 * The kind of process.
	 */
	public enum Role {

		/** Accepts requests of callers and may hold the scheduler's lease. */
		ENTRY,

		/** Runs alongside a worker and a service instance. */
		TARGET

	}

}
