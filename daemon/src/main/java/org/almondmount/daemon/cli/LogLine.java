package org.almondmount.daemon.cli;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a log, as any process writes it. Immutable.
 *
 * @param source the file that it stands in
 * @param millis when it was written, in milliseconds since 1970
 * @param event the event
 * @param values its other keys and values
 * @param text the whole line
 */
record LogLine(String source, long millis, String event, Map<String, String> values, String text) {

	private static final Pattern PAIR = Pattern.compile("([A-Za-z]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)");

	LogLine {
		values = Map.copyOf(values);
	}

	/**
	 * Reads a line. Whatever stands before its time, such as the name of a VM, is
	 * skipped.
	 * @param source the file
	 * @param text the line
	 * @return the line, or empty for one that is no event
	 */
	static Optional<LogLine> read(String source, String text) {
		Map<String, String> values = new HashMap<>();
		Matcher pairs = PAIR.matcher(text);
		while (pairs.find()) {
			values.putIfAbsent(pairs.group(1), unquoted(pairs.group(2)));
		}
		String time = values.get("time");
		String event = values.get("event");
		if (time == null || event == null || !time.matches("\\d{1,18}")) {
			return Optional.empty();
		}
		return Optional.of(new LogLine(source, Long.parseLong(time), event, values, text));
	}

	/**
	 * A value of the line.
	 * @param key its key
	 * @return the value, empty where the line has none
	 */
	String value(String key) {
		return this.values.getOrDefault(key, "");
	}

	/**
	 * Whether the line is about a job or one of its tasks.
	 * @param job the job
	 * @return whether it is
	 */
	boolean names(String job) {
		return value("job").equals(job) || value("subject").equals(job) || value("task").startsWith(job + ".");
	}

	private static String unquoted(String value) {
		boolean quoted = value.length() > 1 && value.startsWith("\"");
		return quoted ? value.substring(1, value.length() - 1) : value;
	}

}
