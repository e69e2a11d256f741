package org.almondmount.daemon.entry.control;

import org.almondmount.model.WorkerId;
import org.almondmount.wire.Message;

/**
 * Sends orders to the target beside a worker.
 */
@FunctionalInterface
interface Orders {

	/**
	 * Sends one order.
	 * @param worker the worker
	 * @param order the order
	 * @return false when nothing of it was or will be sent
	 */
	boolean send(WorkerId worker, Message order);

}
