package org.almondmount.standins;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/**
 * Addresses as they are written on the command line.
 */
final class Places {

	private Places() {
	}

	static InetSocketAddress loopback(int port) {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
	}

	static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		try {
			return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
					Integer.parseInt(text.substring(colon + 1)));
		}
		catch (UnknownHostException | IndexOutOfBoundsException | NumberFormatException ex) {
			throw new IllegalArgumentException(text + " is no address; write it like 127.0.0.1:7000", ex);
		}
	}

	static List<InetSocketAddress> parseAll(String text) {
		List<InetSocketAddress> places = new ArrayList<>();
		for (String each : text.split(",")) {
			places.add(parse(each));
		}
		return places;
	}

}
