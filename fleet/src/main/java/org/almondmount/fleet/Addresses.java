package org.almondmount.fleet;

import java.net.InetSocketAddress;

import org.almondmount.model.InvalidValueException;

/**
 * Parses addresses without name lookups.
 */
public final class Addresses {

	private Addresses() {
	}

	/**
	 * Parses an address.
	 * @param text {@code ip:port}
	 * @return the address
	 * @throws InvalidValueException if the text is not an address
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		try {
			return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			throw new InvalidValueException("address", "is '" + text + "'; give ip:port");
		}
	}

}
