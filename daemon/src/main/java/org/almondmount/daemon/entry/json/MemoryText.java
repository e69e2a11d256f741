package org.almondmount.daemon.entry.json;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.almondmount.settings.util.Quantity;

/**
 * Amounts of memory as people write them: a number and a unit; a bare number is MiB.
 */
public final class MemoryText {

	private static final int BYTES_BITS_OF_MEBIBYTE = 20;

	private MemoryText() {
	}

	/**
	 * Reads an amount.
	 * @param field the field's path, for the message
	 * @param value a text or a number, or null for none
	 * @return the amount in whole MiB, rounded up
	 * @throws DocumentException if it is no amount
	 */
	public static int read(String field, JsonNode value) {
		if (value == null || value.isNull()) {
			return 0;
		}
		Optional<Long> mebibytes = value.isIntegralNumber() ? Optional.of(value.asLong())
				: Quantity.parseBytes(value.asText().trim()).map(MemoryText::roundedUp);
		if (mebibytes.isEmpty() || mebibytes.get() < 0 || mebibytes.get() > Integer.MAX_VALUE) {
			throw new DocumentException(field, "is no amount of memory; give " + Quantity.SIZE_FORMAT);
		}
		return mebibytes.get().intValue();
	}

	// A task that gets less than it asked for may fail; rounding down would do that.
	private static long roundedUp(long bytes) {
		long whole = bytes >> BYTES_BITS_OF_MEBIBYTE;
		return ((whole << BYTES_BITS_OF_MEBIBYTE) == bytes) ? whole : whole + 1;
	}

}
