package org.almondmount.daemon.entry.api;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A job or operator call, from a caller or forwarded by another entry. Immutable.
 *
 * @param caller whose token it carried
 * @param method the method
 * @param path the path with its query, undecoded
 * @param key the idempotency key, if one was given
 * @param body the body
 */
public record ApiCall(Caller caller, String method, String path, Optional<String> key, byte[] body) {

	private static final int PREFIX_SEGMENTS = 1;

	/**
	 * The decoded segments of the path after {@code /v1}.
	 * @return the segments
	 */
	public List<String> segments() {
		List<String> segments = new ArrayList<>();
		for (String segment : this.path.split("\\?", 2)[0].split("/")) {
			if (!segment.isEmpty()) {
				segments.add(decode(segment));
			}
		}
		return segments.subList(Math.min(PREFIX_SEGMENTS, segments.size()), segments.size());
	}

	/**
	 * The decoded parameters of the query.
	 * @return values by name
	 */
	public Map<String, String> query() {
		Map<String, String> values = new LinkedHashMap<>();
		String[] halves = this.path.split("\\?", 2);
		if (halves.length < 2) {
			return values;
		}
		for (String pair : halves[1].split("&")) {
			String[] parts = pair.split("=", 2);
			values.put(decode(parts[0]), (parts.length > 1) ? decode(parts[1]) : "");
		}
		return values;
	}

	/**
	 * Whether the call changes nothing.
	 * @return true for {@code GET}
	 */
	public boolean isRead() {
		return this.method.equals("GET");
	}

	private static String decode(String text) {
		try {
			return URLDecoder.decode(text, StandardCharsets.UTF_8);
		}
		catch (IllegalArgumentException ex) {
			return text;
		}
	}

}
