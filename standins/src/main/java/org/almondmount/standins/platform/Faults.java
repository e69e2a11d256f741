package org.almondmount.standins.platform;

import java.util.EnumMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The faults that are set in one stand-in. Thread-safe.
 */
public final class Faults {

	private final Map<Fault, Long> values = new EnumMap<>(Fault.class);

	/**
	 * Whether a fault is set.
	 * @param fault the fault
	 * @return true if its value is not 0
	 */
	public boolean isOn(Fault fault) {
		return value(fault) != 0;
	}

	/**
	 * A fault's value.
	 * @param fault the fault
	 * @return its value, 0 if it is not set
	 */
	public synchronized long value(Fault fault) {
		return this.values.getOrDefault(fault, 0L);
	}

	/**
	 * Uses one up of a fault that counts down.
	 * @param fault the fault
	 * @return whether there was one
	 */
	public synchronized boolean takeOne(Fault fault) {
		long left = this.values.getOrDefault(fault, 0L);
		if (left <= 0) {
			return false;
		}
		this.values.put(fault, left - 1);
		return true;
	}

	/**
	 * Sets the faults that a document names and leaves the others.
	 * @param document numbers by the faults' names
	 * @return what is wrong with the document; then nothing was set
	 */
	public synchronized Optional<String> set(JsonNode document) {
		Map<Fault, Long> changed = new EnumMap<>(Fault.class);
		Iterator<String> names = document.fieldNames();
		while (names.hasNext()) {
			String name = names.next();
			Optional<Fault> fault = named(name);
			if (fault.isEmpty()) {
				return Optional.of("no fault is named " + name);
			}
			changed.put(fault.get(), document.get(name).asLong());
		}
		this.values.putAll(changed);
		return Optional.empty();
	}

	/**
	 * The faults as a document.
	 * @return a number for each fault
	 */
	public synchronized ObjectNode document() {
		ObjectNode document = Documents.object();
		for (Fault fault : Fault.values()) {
			document.put(fault.word(), this.values.getOrDefault(fault, 0L));
		}
		return document;
	}

	private static Optional<Fault> named(String name) {
		for (Fault fault : Fault.values()) {
			if (fault.word().equals(name)) {
				return Optional.of(fault);
			}
		}
		return Optional.empty();
	}

}
