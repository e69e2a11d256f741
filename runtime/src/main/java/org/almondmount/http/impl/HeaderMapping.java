package org.almondmount.http.impl;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Converts headers between Netty's representation and maps by lower-case name.
 * <p>
 * Headers that apply to a single connection or to the framing of a body are dropped in
 * both directions. A caller that could set them could end the message of another call
 * early (request smuggling).
 */
final class HeaderMapping {

	private static final Set<String> CONNECTION_HEADERS = Set.of("connection", "keep-alive", "proxy-connection",
			"transfer-encoding", "content-length", "te", "trailer", "upgrade", "expect");

	/**
	 * Selects the virtual host on servers with several hosts; the client sets its own
	 * value.
	 */
	private static final String HOST = "host";

	private HeaderMapping() {
	}

	static Map<String, String> toMap(HttpHeaders headers) {
		Map<String, StringJoiner> values = new LinkedHashMap<>();
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!CONNECTION_HEADERS.contains(name)) {
				values.computeIfAbsent(name, (key) -> new StringJoiner(", ")).add(header.getValue());
			}
		}
		Map<String, String> map = new LinkedHashMap<>();
		values.forEach((name, joined) -> map.put(name, joined.toString()));
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
