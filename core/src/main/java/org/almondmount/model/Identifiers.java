package org.almondmount.model;

/**
 * Validation of identifiers.
 * <p>
 * Identifiers become parts of table keys, log lines and paths, where a separator inside
 * an identifier could make it look like another one. Restricting identifiers to letters,
 * digits, dot, dash and underscore when they are created rules this out everywhere.
 */
final class Identifiers {

	private static final int MAX_LENGTH = 120;

	private Identifiers() {
	}

	static void require(String kind, String value) {
		if (value == null || value.isEmpty()) {
			throw new InvalidValueException(kind, "is empty; give it a name");
		}
		if (value.length() > MAX_LENGTH) {
			throw new InvalidValueException(kind, "has " + value.length() + " characters; use at most " + MAX_LENGTH);
		}
		for (int i = 0; i < value.length(); i++) {
			if (!isAllowed(value.charAt(i))) {
				throw new InvalidValueException(kind, "has the character at position " + (i + 1)
						+ " outside letters, digits, '.', '-' and '_'; choose another name");
			}
		}
	}

	private static boolean isAllowed(char c) {
		boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
		boolean digit = c >= '0' && c <= '9';
		return letter || digit || c == '.' || c == '-' || c == '_';
	}

}
