package org.almondmount.fleet.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.almondmount.fleet.DeclarationReader;
import org.almondmount.fleet.EventLoop;
import org.almondmount.model.InvalidValueException;
import org.almondmount.rows.RowStore;
import org.almondmount.rows.RowStore.Place;
import org.almondmount.rows.RowStore.Row;
import org.almondmount.telemetry.EventLog;
import org.almondmount.workflow.FleetConfiguration;

/**
 * Watches the declared configuration in the store and, where the store rejects this
 * entry, receives it from peers. Confined to the event loop thread.
 * <p>
 * A row is only replaced by a newer version of it, so the configuration never reverts to
 * an older one, whichever way a change arrives.
 */
final class ConfigurationWatcher {

	private static final EventLog LOG = EventLog.named("DeclaredState");

	/**
	 * How long one request for changes stays open; each request is charged. A connection
	 * may go silent permanently, and then a change is received only with the next
	 * request. Together with the additional second that the store is given to answer, a
	 * silent connection is detected within 2.5 s, before the deadline for applying
	 * changes.
	 */
	private static final Duration FEED_WAIT = Duration.ofMillis(1_500);

	private static final long RETRY_DELAY_MILLIS = 250;

	private static final int PAGE_SIZE = 500;

	/** A page of rows is larger than other answers and takes longer. */
	private static final Duration PAGE_READ_TIMEOUT = Duration.ofMillis(1_000);

	private final RowStore store;

	private final DeclarationReader reader;

	private final EventLoop loop;

	private final Consumer<ConfigurationWatcher> listener;

	private final Runnable onReachable;

	private final Map<String, Row> rows = new HashMap<>();

	private FleetConfiguration configuration = FleetConfiguration.NONE;

	private Set<String> zonesOut = Set.of();

	private long version;

	private long changedAtMillis;

	private boolean reachable = true;

	/**
	 * Creates a watcher without configuration; it reads nothing before {@link #start()}.
	 * @param store the store that holds the declarations
	 * @param reader interprets the declarations
	 * @param loop the event loop
	 * @param listener called after each change
	 * @param onReachable called when the store answers again
	 */
	ConfigurationWatcher(RowStore store, DeclarationReader reader, EventLoop loop,
			Consumer<ConfigurationWatcher> listener, Runnable onReachable) {
		this.onReachable = onReachable;
		this.store = store;
		this.reader = reader;
		this.loop = loop;
		this.listener = listener;
	}

	void start() {
		readAll("", new ArrayList<>(), Long.MAX_VALUE);
	}

	FleetConfiguration configuration() {
		return this.configuration;
	}

	Set<String> zonesOut() {
		return this.zonesOut;
	}

	/**
	 * Returns the newest version of any row.
	 * @return the version, 0 if there are no rows
	 */
	long version() {
		return this.version;
	}

	long changedAtMillis() {
		return this.changedAtMillis;
	}

	List<Row> rowsNewerThan(long knownVersion) {
		return this.rows.values().stream().filter((row) -> row.version() > knownVersion).toList();
	}

	/**
	 * Applies rows received from a peer.
	 * @param received the rows
	 */
	void addFromPeer(List<Row> received) {
		apply(received, "peer");
	}

	private void readAll(String from, List<Row> found, long oldestVersion) {
		this.loop.onCompletion(this.store.read(this.reader.table(), from, PAGE_SIZE, PAGE_READ_TIMEOUT), (read) -> {
			if (!(read instanceof RowStore.Read.Found page)) {
				markUnreachable(read.toString());
				this.loop.schedule(RETRY_DELAY_MILLIS, this::start);
				return;
			}
			markReachable();
			found.addAll(page.rows());
			long sinceVersion = Math.min(oldestVersion, page.version());
			if (page.more() && !page.rows().isEmpty()) {
				readAll(page.rows().get(page.rows().size() - 1).place().key() + "\0", found, sinceVersion);
				return;
			}
			removeMissing(found, sinceVersion);
			apply(found, "read");
			watchChanges(sinceVersion);
		});
	}

	// Rows deleted while no feed was open are missing from the read. A row newer than the
	// read came from a peer and is retained.
	private void removeMissing(List<Row> found, long sinceVersion) {
		Set<String> presentKeys = new HashSet<>();
		found.forEach((row) -> presentKeys.add(row.place().key()));
		List<Row> removed = new ArrayList<>();
		for (Row known : this.rows.values()) {
			if (known.version() <= sinceVersion && !presentKeys.contains(known.place().key())) {
				removed.add(new Row(known.place(), sinceVersion, Optional.empty()));
			}
		}
		apply(removed, "read");
	}

	private void watchChanges(long afterVersion) {
		this.loop.onCompletion(this.store.changes(this.reader.table(), afterVersion, FEED_WAIT), (changes) -> {
			if (changes instanceof RowStore.Changes.Found found) {
				markReachable();
				apply(found.rows(), "feed");
				watchChanges(Math.max(afterVersion, found.version()));
			}
			else if (changes instanceof RowStore.Changes.Forgotten) {
				LOG.info("feed-forgotten", "after", afterVersion);
				start();
			}
			else {
				markUnreachable(changes.toString());
				this.loop.schedule(RETRY_DELAY_MILLIS, () -> watchChanges(afterVersion));
			}
		});
	}

	private void apply(List<Row> changes, String source) {
		boolean changed = false;
		for (Row row : changes) {
			Row known = this.rows.get(row.place().key());
			if (known == null || known.version() < row.version()) {
				this.rows.put(row.place().key(), row);
				this.version = Math.max(this.version, row.version());
				changed = true;
				LOG.info("declared", "key", row.place().key(), "version", row.version(), "present",
						row.value().isPresent(), "through", source);
			}
		}
		if (changed) {
			this.changedAtMillis = this.loop.steadyMillis();
			interpret();
		}
	}

	private void interpret() {
		Map<String, String> present = new HashMap<>();
		this.rows.forEach((key, row) -> row.value().ifPresent((value) -> present.put(key, value)));
		try {
			this.reader.configuration(present)
				.filter((next) -> next.revision() >= this.configuration.revision())
				.ifPresent((next) -> this.configuration = next);
		}
		catch (InvalidValueException ex) {
			LOG.warn("declaration-unreadable", "kept", this.configuration.revision(), "why", ex.getMessage());
		}
		this.zonesOut = this.reader.zonesOut(present);
		LOG.info("in-force", "revision", this.configuration.revision(), "queues", this.configuration.queues().size(),
				"customers", this.configuration.customers().size(), "zonesOut", this.zonesOut);
		this.listener.accept(this);
	}

	private void markUnreachable(String reason) {
		if (this.reachable) {
			this.reachable = false;
			LOG.warn("dependency-lost", "what", "store-feed", "why", reason);
		}
	}

	private void markReachable() {
		if (!this.reachable) {
			this.reachable = true;
			LOG.info("dependency-regained", "what", "store-feed");
			this.onReachable.run();
		}
	}

	static Row row(String table, String key, long version, Optional<String> value) {
		return new Row(new Place(table, key), version, value);
	}

}
