package org.almondmount.fleet;

import java.util.ArrayList;
import java.util.List;

import org.almondmount.model.InvalidValueException;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.services.util.LimitedLog;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;

/**
 * Reads the addresses of the entries from their rows. A row that another writer left and
 * that is no address is counted and skipped. Thread-safe.
 */
public final class EntryAddresses {

	/** Rows of the table of entries that are no address. */
	private static final String UNREADABLE_ENTRIES_METRIC = "entries.unreadable";

	/** Unreadable rows that are logged in a second; the others are counted. */
	private static final int LOGGED_ROWS_PER_SECOND = 1;

	private final Telemetry telemetry;

	private final LimitedLog log;

	public EntryAddresses(EventLog log, Telemetry telemetry) {
		this.telemetry = telemetry;
		this.log = new LimitedLog(log, LOGGED_ROWS_PER_SECOND, System::nanoTime);
	}

	/**
	 * Returns the addresses in rows of the table of entries.
	 * @param rows the rows
	 * @return the readable addresses
	 */
	public List<String> read(List<Row> rows) {
		List<String> addresses = new ArrayList<>();
		for (Row row : rows) {
			row.value().filter((address) -> isReadable(row, address)).ifPresent(addresses::add);
		}
		return addresses;
	}

	private boolean isReadable(Row row, String address) {
		try {
			if (Addresses.parse(address).getPort() > 0) {
				return true;
			}
			recordUnreadable(row, "port 0 can't be dialled");
		}
		catch (InvalidValueException ex) {
			recordUnreadable(row, ex.getMessage());
		}
		return false;
	}

	private void recordUnreadable(Row row, String reason) {
		this.telemetry.count(UNREADABLE_ENTRIES_METRIC);
		this.log.warn("entry-row-unreadable", "key", row.place().key(), "why", reason);
	}

}
