package org.almondmount.daemon.entry.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.Keys;
import org.almondmount.daemon.entry.store.Rows.EntryRow;
import org.almondmount.membership.EntryDirectory;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.ReadResult;
import org.almondmount.services.TableService.Row;
import org.almondmount.services.TableService.Transaction;
import org.almondmount.services.TableService.Write;
import org.almondmount.telemetry.EventLog;

/**
 * The rows by which entries find each other. Owned by the control duty.
 * <p>
 * A killed entry leaves its row behind. A row that this entry has seen unchanged for
 * several renewals, by its own clock, is removed on the condition that it is still the
 * same; an entry that was only frozen writes its row again.
 */
final class EntryRows {

	private static final EventLog LOG = EventLog.of(EntryRows.class);

	private static final long RENEW_MILLIS = 60_000;

	private static final long READ_MILLIS = 20_000;

	private static final long FIRST_READS_MILLIS = 1_000;

	private static final long STALE_MILLIS = 5 * RENEW_MILLIS;

	private final EntryContext context;

	private final Mailbox mailbox;

	private final EntryDirectory directory;

	private final Map<String, Seen> seen = new HashMap<>();

	private final String ownKey;

	private long renewals;

	private long renewAt = Long.MIN_VALUE;

	private long readAt = Long.MIN_VALUE;

	EntryRows(EntryContext context, Mailbox mailbox, EntryDirectory directory) {
		this.context = context;
		this.mailbox = mailbox;
		this.directory = directory;
		this.ownKey = Keys.entry(context.settings().region(), context.self());
	}

	void tick(long now) {
		if (now >= this.renewAt) {
			this.renewAt = now + RENEW_MILLIS;
			renew();
		}
		if (now >= this.readAt) {
			this.readAt = now + FIRST_READS_MILLIS;
			this.context.table()
				.scan(Keys.entries(this.context.settings().region()))
				.thenAccept((read) -> this.mailbox.deliver(() -> found(read)));
		}
	}

	/** Removes this entry's own row, because it shuts down. */
	void remove() {
		this.renewAt = Long.MAX_VALUE;
		commit(List.of(), new Write(this.ownKey, Optional.empty()));
	}

	private void renew() {
		EntryRow row = new EntryRow(this.context.peerAddress(), ++this.renewals);
		commit(List.of(), new Write(this.ownKey, Optional.of(Json.write(row))));
	}

	private void found(ReadResult<List<Row>> read) {
		if (!(read instanceof ReadResult.Found<List<Row>> rows)) {
			return;
		}
		long now = this.context.clock().millis();
		this.readAt = now + READ_MILLIS;
		for (Row row : rows.rows()) {
			if (!row.key().equals(this.ownKey)) {
				look(now, row);
			}
		}
	}

	private void look(long now, Row row) {
		Seen last = this.seen.get(row.key());
		if (last == null || last.version() != row.version()) {
			this.seen.put(row.key(), new Seen(row.version(), now));
		}
		else if (now - last.since() > STALE_MILLIS) {
			this.seen.remove(row.key());
			LOG.info("entry-row-removed", "key", row.key());
			commit(List.of(new Condition(row.key(), row.version())), new Write(row.key(), Optional.empty()));
			return;
		}
		try {
			this.directory.addAddress(now, Json.readRow(row.key(), row.value(), EntryRow.class).address());
		}
		catch (DocumentException ex) {
			LOG.fault("entry-row-unreadable", ex, "key", row.key());
		}
	}

	private void commit(List<Condition> conditions, Write write) {
		String token = this.context.self() + ".entry-" + ++this.renewals;
		this.context.table().commit(new Transaction(token, conditions, List.of(write)));
	}

	private record Seen(long version, long since) {
	}

}
