package org.almondmount.fleet;

import java.util.List;
import java.util.Optional;

import org.almondmount.rows.RowStore.Place;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryAddressesTests {

	// Guards against an odd row that hides the entries after it.
	@Test
	void rowsThatAreNoAddressAreCountedAndSkipped() {
		Telemetry telemetry = new Telemetry();
		EntryAddresses addresses = new EntryAddresses(EventLog.named("Test"), telemetry);
		List<Row> rows = List.of(row("a", "x"), row("b", "10.1.0.19:0"), row("c", "10.1.0.19:70000"),
				Row.unreadable(new Place(Tables.ENTRIES, "d"), 1), row("e", "10.1.0.19:7000"));
		assertThat(addresses.read(rows)).containsExactly("10.1.0.19:7000");
		assertThat(telemetry.registry().counter("entries.unreadable").getCount()).isEqualTo(4);
	}

	private static Row row(String key, String value) {
		return new Row(new Place(Tables.ENTRIES, key), 1, Optional.of(value));
	}

}
