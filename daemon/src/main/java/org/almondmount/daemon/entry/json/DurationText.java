package org.almondmount.daemon.entry.json;

import java.time.Duration;

import org.almondmount.settings.util.Quantity;

/**
 * Durations as people write them: a number and {@code ms}, {@code s}, {@code m} or
 * {@code h}.
 */
public final class DurationText {

	private DurationText() {
	}

	/**
	 * Reads a duration.
	 * @param field the field or header, for the message
	 * @param text the text
	 * @return the duration
	 * @throws DocumentException if it is none
	 */
	public static Duration read(String field, String text) {
		return Quantity.parseDuration(text.trim())
			.orElseThrow(() -> new DocumentException(field, "is no duration; give " + Quantity.DURATION_FORMAT));
	}

	/**
	 * Writes a duration in its largest whole unit.
	 * @param duration the duration
	 * @return the text
	 */
	public static String write(Duration duration) {
		if (duration.toMillis() % 1_000 != 0) {
			return duration.toMillis() + "ms";
		}
		long seconds = duration.toSeconds();
		if (seconds == 0 || seconds % 60 != 0) {
			return seconds + "s";
		}
		return (seconds % 3_600 != 0) ? seconds / 60 + "m" : seconds / 3_600 + "h";
	}

}
