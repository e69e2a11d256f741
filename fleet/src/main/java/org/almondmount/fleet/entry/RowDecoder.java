package org.almondmount.fleet.entry;

import java.util.Optional;
import java.util.function.Function;

import org.almondmount.rows.RowStore.Row;
import org.almondmount.telemetry.EventLog;

/**
 * Decodes stored rows, any of which another version may have written in a format that
 * this version can't read. Stateless.
 */
final class RowDecoder {

	private RowDecoder() {
	}

	/**
	 * Decodes the value of a row.
	 * @param <T> the type of the decoded value
	 * @param log receives a warning if the value can't be decoded
	 * @param row the row
	 * @param reader decodes a value
	 * @return the decoded value, or empty if the row has none or it can't be decoded
	 */
	static <T> Optional<T> decode(EventLog log, Row row, Function<String, T> reader) {
		try {
			return row.value().map(reader);
		}
		catch (RuntimeException ex) {
			log.warn("row-unreadable", "table", row.place().table(), "key", row.place().key(), "why", ex.getMessage());
			return Optional.empty();
		}
	}

}
