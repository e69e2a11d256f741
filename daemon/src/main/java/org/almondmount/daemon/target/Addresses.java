package org.almondmount.daemon.target;

import java.net.InetSocketAddress;

/**
 * Peer addresses as they travel: {@code ip:port}.
 */
final class Addresses {

	private Addresses() {
	}

	static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

}
