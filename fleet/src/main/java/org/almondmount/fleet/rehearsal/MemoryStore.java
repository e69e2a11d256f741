package org.almondmount.fleet.rehearsal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.almondmount.rows.RowStore;

/**
 * An in-memory store. Thread-safe. Keeps only the newest change of each row.
 */
final class MemoryStore implements RowStore {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private long version;

	@Override
	public synchronized CompletableFuture<Commit> commit(List<Condition> conditions, List<Write> writes,
			Duration timeout) {
		List<Row> current = new ArrayList<>();
		boolean conditionsMet = true;
		for (Condition condition : conditions) {
			Row row = this.rows.get(key(condition.place()));
			boolean present = row != null && row.value().isPresent();
			conditionsMet &= (present ? row.version() : 0) == condition.version();
			if (present) {
				current.add(row);
			}
		}
		if (!conditionsMet) {
			return CompletableFuture.completedFuture(new Commit.Conflict(current));
		}
		this.version++;
		writes
			.forEach((write) -> this.rows.put(key(write.place()), new Row(write.place(), this.version, write.value())));
		return CompletableFuture.completedFuture(new Commit.Committed(this.version));
	}

	@Override
	public synchronized CompletableFuture<Read> read(String table, String from, int limit, Duration timeout) {
		List<Row> found = new ArrayList<>();
		for (Row row : this.rows.tailMap(table + "\t" + from).values()) {
			if (row.place().table().equals(table) && row.value().isPresent() && found.size() < limit) {
				found.add(row);
			}
		}
		return CompletableFuture.completedFuture(new Read.Found(found, false, this.version));
	}

	@Override
	public synchronized CompletableFuture<Changes> changes(String table, long after, Duration wait) {
		List<Row> changed = new ArrayList<>();
		for (Row row : this.rows.values()) {
			if (row.place().table().equals(table) && row.version() > after) {
				changed.add(row);
			}
		}
		CompletableFuture<Changes> answer = new CompletableFuture<>();
		answer.completeOnTimeout(new Changes.Found(changed, this.version), changed.isEmpty() ? wait.toMillis() : 0,
				TimeUnit.MILLISECONDS);
		return answer;
	}

	synchronized void put(String table, String key, String value) {
		commit(List.of(), List.of(new Write(new Place(table, key), Optional.of(value))), Duration.ZERO);
	}

	private static String key(Place place) {
		return place.table() + "\t" + place.key();
	}

}
