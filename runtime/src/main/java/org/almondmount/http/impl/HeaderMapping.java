package org.almondmount.http.impl;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Headers between Netty's form and maps by lower-case name.
 * <p>
 * Headers that speak about one connection, or about how a body is framed on it, are left
 * out on the way in and refused on the way out: a caller that could set them could end
 * another call's message early.
 */
final class HeaderMapping {

	private static final Set<String> CONNECTION_HEADERS = Set.of("connection", "keep-alive", "proxy-connection",
			"transfer-encoding", "content-length", "te", "trailer", "upgrade", "expect");

	/** Read by servers that serve several hosts; a client sets its own. */
	private static final String HOST = "host";

	private HeaderMapping() {
	}

	static Map<String, String> toMap(HttpHeaders headers) {
		Map<String, String> map = new LinkedHashMap<>();
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!CONNECTION_HEADERS.contains(name)) {
				map.merge(name, header.getValue(), (first, second) -> first + ", " + second);
			}
		}
		return map;
	}

	static void copy(Map<String, String> from, HttpHeaders to) {
		for (Map.Entry<String, String> header : from.entrySet()) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!CONNECTION_HEADERS.contains(name) && !name.equals(HOST)) {
				to.set(name, header.getValue());
			}
		}
	}

}
