package org.almondmount.settings.impl;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.almondmount.model.InvalidValueException;
import org.almondmount.settings.SettingsFault;
import org.almondmount.settings.util.Quantity;

/**
 * A mapping in a settings file. Not thread-safe. An invalid value is recorded as a fault
 * and replaced by a placeholder value, so that a single pass finds all faults.
 */
final class Section {

	private static final int MAX_SHOWN_LENGTH = 60;

	private static final int MAX_PORT = 65_535;

	private final String path;

	private final JsonNode node;

	private final List<SettingsFault> faults;

	private final Set<String> knownKeys = new TreeSet<>();

	Section(String path, JsonNode node, List<SettingsFault> faults) {
		this.path = path;
		this.node = node;
		this.faults = faults;
	}

	Section section(String key) {
		JsonNode child = consume(key);
		if (!child.isMissingNode() && !child.isObject()) {
			addFault(key, format(child), "a mapping of settings", "write its settings indented below it");
			child = MissingNode.getInstance();
		}
		return new Section(pathOf(key), child, this.faults);
	}

	List<Section> list(String key) {
		JsonNode child = consume(key);
		List<Section> sections = new ArrayList<>();
		if (!child.isMissingNode() && !child.isArray()) {
			addFault(key, format(child), "a list", "write each element after a dash");
			return sections;
		}
		for (int i = 0; i < child.size(); i++) {
			String place = pathOf(key) + "[" + i + "]";
			JsonNode element = child.get(i);
			if (!element.isObject()) {
				this.faults.add(new SettingsFault(place, format(element), "a mapping of settings",
						"write its settings after the dash"));
				element = MissingNode.getInstance();
			}
			sections.add(new Section(place, element, this.faults));
		}
		return sections;
	}

	/**
	 * Reads a required value and converts it with a parser.
	 * @param <T> the type of the value
	 * @param key the key of the value
	 * @param parser converts the text; throws {@link InvalidValueException} if it is
	 * invalid
	 * @return the value, or null if it is missing or invalid
	 */
	<T> T parsed(String key, Function<String, T> parser) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			addMissingFault(key, "a name of letters, digits, '.', '-' and '_'");
			return null;
		}
		try {
			return parser.apply(text.get());
		}
		catch (InvalidValueException ex) {
			addFault(key, quote(text.get()), "a name of letters, digits, '.', '-' and '_', at most 120 characters",
					"choose such a name");
			return null;
		}
	}

	String secret(String key, int minLength) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			addMissingFault(key, "a secret of at least " + minLength + " characters");
			return "";
		}
		if (text.get().length() < minLength) {
			addFault(key, "a secret of " + text.get().length() + " characters",
					"a secret of at least " + minLength + " characters", "make a longer one from a random source");
		}
		return text.get();
	}

	Duration duration(String key, Duration defaultValue, Duration min, Duration max) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			return defaultValue;
		}
		Optional<Duration> value = Quantity.parseDuration(text.get());
		if (value.isEmpty()) {
			addFault(key, quote(text.get()), Quantity.DURATION_FORMAT, "write the unit after the number");
			return defaultValue;
		}
		if (value.get().compareTo(min) < 0 || value.get().compareTo(max) > 0) {
			addFault(key, text.get(), format(min) + " to " + format(max), "choose a value in this range");
		}
		return value.get();
	}

	int bytes(String key, int defaultValue, int min, int max) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			return defaultValue;
		}
		Optional<Long> value = Quantity.parseBytes(text.get());
		if (value.isEmpty()) {
			addFault(key, quote(text.get()), Quantity.SIZE_FORMAT, "write the unit after the number");
			return defaultValue;
		}
		if (value.get() < min || value.get() > max) {
			addFault(key, text.get(), min + "B to " + max + "B", "choose a value in this range");
			return defaultValue;
		}
		return value.get().intValue();
	}

	int mebibytes(String key) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			addMissingFault(key, Quantity.SIZE_FORMAT);
			return 0;
		}
		Optional<Long> value = Quantity.parseBytes(text.get());
		if (value.isEmpty() || value.get() >> 20 > Integer.MAX_VALUE) {
			addFault(key, quote(text.get()), Quantity.SIZE_FORMAT, "write the unit after the number");
			return 0;
		}
		return (int) (value.get() >> 20);
	}

	int number(String key, int defaultValue, int min, int max) {
		JsonNode child = consume(key);
		if (child.isMissingNode()) {
			return defaultValue;
		}
		if (!child.isIntegralNumber() || !child.canConvertToInt() || child.intValue() < min || child.intValue() > max) {
			addFault(key, format(child), "a whole number from " + min + " to " + max, "choose a value in this range");
			return defaultValue;
		}
		return child.intValue();
	}

	boolean flag(String key, boolean defaultValue) {
		JsonNode child = consume(key);
		if (child.isMissingNode()) {
			return defaultValue;
		}
		if (!child.isBoolean()) {
			addFault(key, format(child), "true or false", "write one of them without quotes");
			return defaultValue;
		}
		return child.booleanValue();
	}

	int requiredNumber(String key, int min, int max) {
		if (!this.node.has(key)) {
			addMissingFault(key, "a whole number from " + min + " to " + max);
		}
		return number(key, min, min, max);
	}

	InetSocketAddress address(String key) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			addMissingFault(key, "an address as IP:PORT, such as 10.0.0.7:7000");
			return null;
		}
		Optional<InetSocketAddress> address = parseAddress(text.get());
		if (address.isEmpty()) {
			addFault(key, quote(text.get()), "an address as IP:PORT, such as 10.0.0.7:7000",
					"write the IP address and the port, separated by a colon");
		}
		return address.orElse(null);
	}

	InetSocketAddress addressOr(String key, InetSocketAddress defaultValue) {
		return this.node.has(key) ? address(key) : defaultValue;
	}

	/**
	 * Records a fault unless the setting has one already: only its first fault is kept.
	 * @param key the setting
	 * @param found description of the value found
	 * @param allowed description of the allowed values
	 * @param remedy how to correct it
	 */
	void addFault(String key, String found, String allowed, String remedy) {
		String place = pathOf(key);
		for (SettingsFault fault : this.faults) {
			if (fault.path().equals(place)) {
				return;
			}
		}
		this.faults.add(new SettingsFault(place, found, allowed, remedy));
	}

	/**
	 * Records a fault for each key that was not read. Must be called last. Without this
	 * check a mistyped key would silently leave the default in force.
	 */
	void rejectUnknownKeys() {
		Iterator<String> keys = this.node.fieldNames();
		while (keys.hasNext()) {
			String key = keys.next();
			if (!this.knownKeys.contains(key)) {
				addFault(key, "an unknown key", String.join(", ", this.knownKeys), "correct the key or take it out");
			}
		}
	}

	private Optional<String> text(String key) {
		JsonNode child = consume(key);
		if (child.isMissingNode()) {
			return Optional.empty();
		}
		if (!child.isValueNode() || child.isNull()) {
			addFault(key, format(child), "a single value", "write one value after the colon");
			return Optional.of("");
		}
		return Optional.of(child.asText());
	}

	private JsonNode consume(String key) {
		this.knownKeys.add(key);
		return this.node.path(key);
	}

	private void addMissingFault(String key, String allowed) {
		addFault(key, "nothing", allowed, "add it");
	}

	private String pathOf(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	// Accepts IP addresses only: resolving a host name would need a network lookup during
	// validation, and processes are configured with numeric addresses.
	private static Optional<InetSocketAddress> parseAddress(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			return Optional.empty();
		}
		String host = text.substring(0, colon);
		for (int i = 0; i < host.length(); i++) {
			if ("0123456789abcdefABCDEF.:[]".indexOf(host.charAt(i)) < 0) {
				return Optional.empty();
			}
		}
		if (host.indexOf(':') < 0 && !host.matches("\\d{1,3}(\\.\\d{1,3}){3}")) {
			return Optional.empty();
		}
		try {
			int port = Integer.parseInt(text.substring(colon + 1));
			if (port < 0 || port > MAX_PORT) {
				return Optional.empty();
			}
			return Optional.of(new InetSocketAddress(InetAddress.getByName(host), port));
		}
		catch (NumberFormatException | UnknownHostException ex) {
			return Optional.empty();
		}
	}

	private static String format(JsonNode node) {
		return node.isTextual() ? quote(node.asText()) : truncate(node.toString());
	}

	private static String format(Duration duration) {
		long millis = duration.toMillis();
		return (millis % 1_000 == 0) ? millis / 1_000 + "s" : millis + "ms";
	}

	private static String quote(String text) {
		return "\"" + truncate(text) + "\"";
	}

	private static String truncate(String text) {
		return (text.length() > MAX_SHOWN_LENGTH) ? text.substring(0, MAX_SHOWN_LENGTH) + "…" : text;
	}

}
