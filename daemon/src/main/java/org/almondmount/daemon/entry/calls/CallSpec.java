package org.almondmount.daemon.entry.calls;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.json.DurationText;
import org.almondmount.daemon.entry.json.KeyText;
import org.almondmount.http.HttpCall;
import org.almondmount.model.CustomerId;

/**
 * A caller's request as its headers describe it. Immutable.
 *
 * @param customer on whose behalf
 * @param idempotent whether it may run more than once
 * @param key the idempotency key, if one was given
 * @param deadline time from arrival until nobody waits any more
 * @param path the path at the instance
 * @param headers headers to pass on
 * @param body the whole body
 */
record CallSpec(CustomerId customer, boolean idempotent, Optional<String> key, Duration deadline, String path,
		Map<String, String> headers, byte[] body) {

	/** Before the path of the instance. */
	static final String PATH = "/v1/call/";

	private static final Duration LONGEST_DEADLINE = Duration.ofMinutes(10);

	private static final Set<String> NOT_PASSED_ON = Set.of("authorization", "host", "content-length", "connection",
			"keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "expect", "proxy-authorization",
			"proxy-connection", "idempotency-key");

	private static final String OWN_HEADERS = "almondmount-";

	/**
	 * Reads a call.
	 * @param customer whose token it carries
	 * @param call the call; its path starts with {@link #PATH}
	 * @param defaultDeadline for calls that name none
	 * @return what is asked for
	 * @throws DocumentException naming the header that is wrong
	 */
	static CallSpec read(CustomerId customer, HttpCall call, Duration defaultDeadline) {
		Map<String, String> headers = call.headers();
		return new CallSpec(customer, idempotent(headers), KeyText.read(headers), deadline(headers, defaultDeadline),
				call.path().substring(PATH.length() - 1), passedOn(headers), call.body());
	}

	/**
	 * A hash of everything that makes it this request and no other.
	 * @return hexadecimal digits
	 */
	String contentHash() {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			digest.update(this.path.getBytes(StandardCharsets.UTF_8));
			digest.update((byte) 0);
			digest.update(this.headers.getOrDefault("content-type", "").getBytes(StandardCharsets.UTF_8));
			digest.update((byte) 0);
			return HexFormat.of().formatHex(digest.digest(this.body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static boolean idempotent(Map<String, String> headers) {
		String value = headers.getOrDefault("almondmount-idempotent", "false");
		if (!value.equals("true") && !value.equals("false")) {
			throw new DocumentException("Almondmount-Idempotent", "is neither true nor false; give one of them");
		}
		return value.equals("true");
	}

	private static Duration deadline(Map<String, String> headers, Duration defaultDeadline) {
		String value = headers.get("almondmount-deadline");
		if (value == null) {
			return defaultDeadline;
		}
		Duration deadline = DurationText.read("Almondmount-Deadline", value);
		if (deadline.isZero() || deadline.compareTo(LONGEST_DEADLINE) > 0) {
			throw new DocumentException("Almondmount-Deadline", "is " + value + "; give more than 0s and at most 10m");
		}
		return deadline;
	}

	private static Map<String, String> passedOn(Map<String, String> headers) {
		Map<String, String> passed = new LinkedHashMap<>();
		headers.forEach((name, value) -> {
			if (!NOT_PASSED_ON.contains(name) && !name.startsWith(OWN_HEADERS)) {
				passed.put(name, value);
			}
		});
		return passed;
	}

}
