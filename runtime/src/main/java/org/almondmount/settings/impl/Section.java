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
 * One mapping of a settings file. Not thread-safe. Whatever is wrong is noted and a
 * harmless value is given back, so that one reading finds all faults.
 */
final class Section {

	private static final int LONGEST_SHOWN = 60;

	private static final int LARGEST_PORT = 65_535;

	private final String path;

	private final JsonNode node;

	private final List<SettingsFault> faults;

	private final Set<String> known = new TreeSet<>();

	Section(String path, JsonNode node, List<SettingsFault> faults) {
		this.path = path;
		this.node = node;
		this.faults = faults;
	}

	Section section(String key) {
		JsonNode child = take(key);
		if (!child.isMissingNode() && !child.isObject()) {
			fault(key, shown(child), "a mapping of settings", "write its settings indented below it");
			child = MissingNode.getInstance();
		}
		return new Section(at(key), child, this.faults);
	}

	List<Section> list(String key) {
		JsonNode child = take(key);
		List<Section> sections = new ArrayList<>();
		if (!child.isMissingNode() && !child.isArray()) {
			fault(key, shown(child), "a list", "write each element after a dash");
			return sections;
		}
		for (int i = 0; i < child.size(); i++) {
			String place = at(key) + "[" + i + "]";
			JsonNode element = child.get(i);
			if (!element.isObject()) {
				this.faults.add(new SettingsFault(place, shown(element), "a mapping of settings",
						"write its settings after the dash"));
				element = MissingNode.getInstance();
			}
			sections.add(new Section(place, element, this.faults));
		}
		return sections;
	}

	/**
	 * A value with a rule of its own.
	 * @param <T> its type
	 * @param key its key; required
	 * @param rule makes the value, or says by {@link InvalidValueException} what is wrong
	 * @return the value, or null where there is a fault
	 */
	<T> T named(String key, Function<String, T> rule) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			required(key, "a name of letters, digits, '.', '-' and '_'");
			return null;
		}
		try {
			return rule.apply(text.get());
		}
		catch (InvalidValueException ex) {
			fault(key, quoted(text.get()), "a name of letters, digits, '.', '-' and '_', at most 120 characters",
					"choose such a name");
			return null;
		}
	}

	String secret(String key, int shortest) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			required(key, "a secret of at least " + shortest + " characters");
			return "";
		}
		if (text.get().length() < shortest) {
			fault(key, "a secret of " + text.get().length() + " characters",
					"a secret of at least " + shortest + " characters", "make a longer one from a random source");
		}
		return text.get();
	}

	Duration duration(String key, Duration otherwise, Duration least, Duration most) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			return otherwise;
		}
		Optional<Duration> value = Quantity.duration(text.get());
		if (value.isEmpty()) {
			fault(key, quoted(text.get()), Quantity.DURATIONS, "write the unit behind the number");
			return otherwise;
		}
		if (value.get().compareTo(least) < 0 || value.get().compareTo(most) > 0) {
			fault(key, text.get(), shown(least) + " to " + shown(most), "choose a value in this range");
		}
		return value.get();
	}

	int bytes(String key, int otherwise, int least, int most) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			return otherwise;
		}
		Optional<Long> value = Quantity.bytes(text.get());
		if (value.isEmpty()) {
			fault(key, quoted(text.get()), Quantity.SIZES, "write the unit behind the number");
			return otherwise;
		}
		if (value.get() < least || value.get() > most) {
			fault(key, text.get(), least + "B to " + most + "B", "choose a value in this range");
			return otherwise;
		}
		return value.get().intValue();
	}

	int mebibytes(String key) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			required(key, Quantity.SIZES);
			return 0;
		}
		Optional<Long> value = Quantity.bytes(text.get());
		if (value.isEmpty() || value.get() >> 20 > Integer.MAX_VALUE) {
			fault(key, quoted(text.get()), Quantity.SIZES, "write the unit behind the number");
			return 0;
		}
		return (int) (value.get() >> 20);
	}

	int number(String key, int otherwise, int least, int most) {
		JsonNode child = take(key);
		if (child.isMissingNode()) {
			return otherwise;
		}
		if (!child.isIntegralNumber() || !child.canConvertToInt() || child.intValue() < least
				|| child.intValue() > most) {
			fault(key, shown(child), "a whole number from " + least + " to " + most, "choose a value in this range");
			return otherwise;
		}
		return child.intValue();
	}

	boolean flag(String key, boolean otherwise) {
		JsonNode child = take(key);
		if (child.isMissingNode()) {
			return otherwise;
		}
		if (!child.isBoolean()) {
			fault(key, shown(child), "true or false", "write one of them without quotes");
			return otherwise;
		}
		return child.booleanValue();
	}

	int requiredNumber(String key, int least, int most) {
		if (!this.node.has(key)) {
			required(key, "a whole number from " + least + " to " + most);
		}
		return number(key, least, least, most);
	}

	InetSocketAddress address(String key) {
		Optional<String> text = text(key);
		if (text.isEmpty()) {
			required(key, "an address as IP:PORT, such as 10.0.0.7:7000");
			return null;
		}
		Optional<InetSocketAddress> address = parse(text.get());
		if (address.isEmpty()) {
			fault(key, quoted(text.get()), "an address as IP:PORT, such as 10.0.0.7:7000",
					"write the IP number and the port with a colon between");
		}
		return address.orElse(null);
	}

	InetSocketAddress addressOr(String key, InetSocketAddress otherwise) {
		return this.node.has(key) ? address(key) : otherwise;
	}

	/**
	 * Notes a fault; a place has at most one, the first.
	 * @param key the setting
	 * @param found what stands there
	 * @param allowed what may stand there
	 * @param remedy what to do
	 */
	void fault(String key, String found, String allowed, String remedy) {
		String place = at(key);
		for (SettingsFault fault : this.faults) {
			if (fault.path().equals(place)) {
				return;
			}
		}
		this.faults.add(new SettingsFault(place, found, allowed, remedy));
	}

	/**
	 * Has to be called last: whatever was not asked for is a fault, because a mistyped
	 * key would otherwise leave its default in force unseen.
	 */
	void end() {
		Iterator<String> keys = this.node.fieldNames();
		while (keys.hasNext()) {
			String key = keys.next();
			if (!this.known.contains(key)) {
				fault(key, "an unknown key", String.join(", ", this.known), "correct the key or take it out");
			}
		}
	}

	private Optional<String> text(String key) {
		JsonNode child = take(key);
		if (child.isMissingNode()) {
			return Optional.empty();
		}
		if (!child.isValueNode() || child.isNull()) {
			fault(key, shown(child), "a single value", "write one value behind the colon");
			return Optional.of("");
		}
		return Optional.of(child.asText());
	}

	private JsonNode take(String key) {
		this.known.add(key);
		return this.node.path(key);
	}

	private void required(String key, String allowed) {
		fault(key, "nothing", allowed, "add it");
	}

	private String at(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	// A name would be looked up on the network while settings are checked; processes
	// learn their addresses as numbers.
	private static Optional<InetSocketAddress> parse(String text) {
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
			if (port < 0 || port > LARGEST_PORT) {
				return Optional.empty();
			}
			return Optional.of(new InetSocketAddress(InetAddress.getByName(host), port));
		}
		catch (NumberFormatException | UnknownHostException ex) {
			return Optional.empty();
		}
	}

	private static String shown(JsonNode node) {
		return node.isTextual() ? quoted(node.asText()) : cut(node.toString());
	}

	private static String shown(Duration duration) {
		long millis = duration.toMillis();
		return (millis % 1_000 == 0) ? millis / 1_000 + "s" : millis + "ms";
	}

	private static String quoted(String text) {
		return "\"" + cut(text) + "\"";
	}

	private static String cut(String text) {
		return (text.length() > LONGEST_SHOWN) ? text.substring(0, LONGEST_SHOWN) + "…" : text;
	}

}
