package org.almondmount.jobs.impl;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses a duration from an option of the configuration, such as {@code 500ms},
 * {@code 30s} or {@code 2m}.
 */
final class DurationOption {

	private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m|h)");

	private DurationOption() {
	}

	/**
	 * Parses a duration.
	 * @param text the value of the option, null if it is not set
	 * @return the duration, empty if the option is not set or not valid
	 */
	static Optional<Duration> parse(String text) {
		Matcher matcher = DURATION.matcher((text != null) ? text.trim() : "");
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long amount = Long.parseLong(matcher.group(1));
		Duration duration = switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			case "m" -> Duration.ofMinutes(amount);
			default -> Duration.ofHours(amount);
		};
		return Optional.of(duration);
	}

}
