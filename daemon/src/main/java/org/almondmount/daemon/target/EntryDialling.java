package org.almondmount.daemon.target;

import java.net.InetSocketAddress;

/**
 * Has a connection opened; what becomes of it is told by signals.
 */
@FunctionalInterface
interface EntryDialling {

	void dial(InetSocketAddress address);

}
