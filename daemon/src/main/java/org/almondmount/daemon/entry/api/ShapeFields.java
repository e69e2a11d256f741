package org.almondmount.daemon.entry.api;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.json.MemoryText;
import org.almondmount.model.Adjacency;
import org.almondmount.model.GangShape;
import org.almondmount.model.InvalidValueException;
import org.almondmount.model.Resources;

/**
 * Reads the fields by which jobs and guarantees describe a gang.
 */
final class ShapeFields {

	private ShapeFields() {
	}

	static GangShape shape(String path, Integer members, Integer accelerators, Integer cores, JsonNode memory,
			String adjacency) {
		try {
			Resources perMember = new Resources(orElse(accelerators, 1), orElse(cores, 0),
					MemoryText.read(path + ".memory", memory));
			return new GangShape(orElse(members, 1), perMember,
					word(path + ".adjacency", Adjacency.class, adjacency, Adjacency.ANY));
		}
		catch (InvalidValueException ex) {
			throw new DocumentException(path, ex.getMessage());
		}
	}

	/**
	 * Reads the constant of an enum.
	 * @param <E> the enum
	 * @param path the field's path, for the message
	 * @param type the enum's class
	 * @param word the word in any case, or null
	 * @param absent what null means
	 * @return the constant
	 */
	static <E extends Enum<E>> E word(String path, Class<E> type, String word, E absent) {
		if (word == null) {
			return absent;
		}
		StringBuilder allowed = new StringBuilder();
		for (E each : type.getEnumConstants()) {
			String name = each.name().toLowerCase(Locale.ROOT);
			if (name.equals(word.toLowerCase(Locale.ROOT))) {
				return each;
			}
			allowed.append((allowed.length() != 0) ? ", " : "").append(name);
		}
		throw new DocumentException(path, "is not one of " + allowed);
	}

	static int orElse(Integer value, int absent) {
		return (value != null) ? value : absent;
	}

}
