package org.almondmount.settings.util;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/**
 * Parses durations and sizes with units.
 */
public final class Quantity {

	/** Description of the duration format, for error messages. */
	public static final String DURATION_FORMAT = "a number with ms, s, m or h, such as 500ms or 3s";

	/** Description of the size format, for error messages. */
	public static final String SIZE_FORMAT = "a number with B, KB, MB, GB, TB, KiB, MiB, GiB or TiB, such as 8MiB or 16GB";

	private static final Map<String, Long> MILLIS_PER_UNIT = Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h",
			3_600_000L);

	private static final Map<String, Long> BYTES_PER_UNIT = Map.of("B", 1L, "KB", 1_000L, "MB", 1_000_000L, "GB",
			1_000_000_000L, "TB", 1_000_000_000_000L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30, "TiB",
			1L << 40);

	private static final int MAX_TEXT_LENGTH = 24;

	// Durations are added to clock readings in milliseconds; the limit of a century
	// prevents overflow.
	private static final long MAX_DURATION_MILLIS = Duration.ofDays(36_525).toMillis();

	private Quantity() {
	}

	/**
	 * Parses a duration.
	 * @param text a number with its unit
	 * @return the duration in whole milliseconds, at most a century; empty if the text is
	 * not a valid duration
	 */
	public static Optional<Duration> parseDuration(String text) {
		return parse(text, MILLIS_PER_UNIT).filter((millis) -> millis <= MAX_DURATION_MILLIS).map(Duration::ofMillis);
	}

	/**
	 * Parses a size.
	 * @param text a number with its unit
	 * @return the size in bytes; empty if the text is not a valid size
	 */
	public static Optional<Long> parseBytes(String text) {
		return parse(text, BYTES_PER_UNIT);
	}

	private static Optional<Long> parse(String text, Map<String, Long> units) {
		if (text.length() > MAX_TEXT_LENGTH) {
			return Optional.empty();
		}
		int end = 0;
		while (end < text.length() && (isDigit(text.charAt(end)) || text.charAt(end) == '.')) {
			end++;
		}
		Long unit = units.get(text.substring(end).trim());
		if (unit == null || end == 0) {
			return Optional.empty();
		}
		try {
			BigDecimal number = new BigDecimal(text.substring(0, end));
			return Optional.of(number.multiply(BigDecimal.valueOf(unit)).longValueExact());
		}
		catch (ArithmeticException | NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private static boolean isDigit(char c) {
		return c >= '0' && c <= '9';
	}

}
