package org.almondmount.fleet;

import java.net.InetSocketAddress;

import io.netty.util.NetUtil;
import org.almondmount.model.InvalidValueException;

/**
 * Parses addresses without name lookups.
 */
public final class Addresses {

	/** Longer than any address. */
	private static final int MAX_SHOWN_CHARS = 64;

	private Addresses() {
	}

	/**
	 * Parses an address.
	 * @param text {@code ip:port}, with port 0 to listen on any port
	 * @return the address
	 * @throws InvalidValueException if the text is not an address
	 */
	public static InetSocketAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		String ip = text.substring(0, Math.max(0, colon));
		boolean isLiteral = NetUtil.isValidIpV4Address(ip) || NetUtil.isValidIpV6Address(ip);
		try {
			if (isLiteral) {
				return new InetSocketAddress(ip, Integer.parseInt(text.substring(colon + 1)));
			}
		}
		catch (IllegalArgumentException ex) {
			throw invalid(text);
		}
		throw invalid(text);
	}

	private static InvalidValueException invalid(String text) {
		String shown = text.substring(0, Math.min(text.length(), MAX_SHOWN_CHARS));
		return new InvalidValueException("address", "is '" + shown + "'; give ip:port");
	}

}
