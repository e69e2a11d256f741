package org.almondmount.telemetry;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs each event as one line of key=value pairs. Thread-safe.
 * <p>
 * Text from a caller may contain line breaks, quotes or equal signs, which could forge a
 * second event if they were not escaped. Every value with characters other than plain
 * printable ASCII is quoted and escaped. Keys and event names are constants in the code
 * and need no escaping.
 */
public final class EventLog {

	private final Logger logger;

	private EventLog(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Returns the event log of a class.
	 * @param source the class that logs the events
	 * @return the event log
	 */
	public static EventLog of(Class<?> source) {
		return new EventLog(LogManager.getLogger(source));
	}

	/**
	 * Returns the event log of a named part. The name is independent of the class name,
	 * so that a renamed class keeps it.
	 * @param part the part's name in log lines, a constant without dots
	 * @return the event log
	 */
	public static EventLog named(String part) {
		return new EventLog(LogManager.getLogger(part));
	}

	/**
	 * Logs an expected event.
	 * @param event the event's name, a constant
	 * @param keysAndValues alternating constant keys and values
	 */
	public void info(String event, Object... keysAndValues) {
		if (this.logger.isInfoEnabled()) {
			this.logger.info(line(event, keysAndValues));
		}
	}

	/**
	 * Logs an event that may need the attention of an operator.
	 * @param event the event's name, a constant
	 * @param keysAndValues alternating constant keys and values
	 */
	public void warn(String event, Object... keysAndValues) {
		this.logger.warn(line(event, keysAndValues));
	}

	/**
	 * Logs an internal error of almondmount.
	 * @param event the event's name, a constant
	 * @param fault the exception
	 * @param keysAndValues alternating constant keys and values
	 */
	public void fault(String event, Throwable fault, Object... keysAndValues) {
		StringBuilder text = new StringBuilder(line(event, keysAndValues));
		append(text, "fault", fault);
		StackTraceElement[] trace = fault.getStackTrace();
		if (trace.length > 0) {
			append(text, "at", trace[0]);
		}
		this.logger.error(text.toString());
	}

	static String line(String event, Object... keysAndValues) {
		StringBuilder text = new StringBuilder("event=").append(event);
		for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
			append(text, String.valueOf(keysAndValues[i]), keysAndValues[i + 1]);
		}
		return text.toString();
	}

	private static void append(StringBuilder text, String key, Object value) {
		text.append(' ').append(key).append('=');
		String plain = String.valueOf(value);
		if (isPlain(plain)) {
			text.append(plain);
			return;
		}
		text.append('"');
		for (int i = 0; i < plain.length(); i++) {
			appendEscaped(text, plain.charAt(i));
		}
		text.append('"');
	}

	private static boolean isPlain(String value) {
		for (int i = 0; i < value.length(); i++) {
			char c = value.charAt(i);
			if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c > '~') {
				return false;
			}
		}
		return !value.isEmpty();
	}

	private static void appendEscaped(StringBuilder text, char c) {
		if (c == '"' || c == '\\') {
			text.append('\\').append(c);
		}
		else if (c < ' ' || c == 0x7f || c == 0x85 || c == 0x2028 || c == 0x2029) {
			text.append(String.format("\\u%04x", (int) c));
		}
		else {
			text.append(c);
		}
	}

}
