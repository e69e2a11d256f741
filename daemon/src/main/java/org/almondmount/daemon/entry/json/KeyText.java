package org.almondmount.daemon.entry.json;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The idempotency key of a call. It becomes part of a row's key, so a separator inside it
 * could make it pass for another customer's; only a plain alphabet is taken.
 */
public final class KeyText {

	/** The header's lower-case name. */
	public static final String HEADER = "idempotency-key";

	private static final Pattern FORM = Pattern.compile("[A-Za-z0-9._-]{1,120}");

	private KeyText() {
	}

	/**
	 * Reads the key.
	 * @param headers a call's headers by lower-case name
	 * @return the key, or empty if none was given
	 * @throws DocumentException if it is no key
	 */
	public static Optional<String> read(Map<String, String> headers) {
		String value = headers.get(HEADER);
		if (value == null) {
			return Optional.empty();
		}
		String key = value.trim();
		if (key.length() > 2 && key.startsWith("\"") && key.endsWith("\"")) {
			key = key.substring(1, key.length() - 1);
		}
		if (!FORM.matcher(key).matches()) {
			throw new DocumentException("Idempotency-Key",
					"is not 1 to 120 letters, digits, '.', '-' or '_'; choose such a key, for instance a UUID");
		}
		return Optional.of(key);
	}

}
