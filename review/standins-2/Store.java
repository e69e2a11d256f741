import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store: rows in tables and parts, transactions and feeds, as PROTOCOL.md
 * describes them. It may listen on several addresses.
 */
final class Store {

	private static final long TRANSACTION_MILLIS = 5;

	private static final int MAX_ROWS = 500;

	private final Record record;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final List<HttpServer> servers = new ArrayList<>();

	private long version;

	/** Until when the store doesn't answer, by {@link #nowMillis()}. */
	private volatile long silentUntil;

	/** The transaction that was sent to the silent store and is done later. */
	private volatile Predicate<String> late = (body) -> false;

	private volatile long lateMillis;

	private record Row(String table, String part, String key, String value, long version) {
	}

	Store(Record record) {
		this.record = record;
	}

	void listen(InetSocketAddress address) throws IOException {
		this.servers.add(Http.serve(address, this::answer));
	}

	/**
	 * Answers no call for a while. Of the transactions that arrive meanwhile, the first that
	 * matches is done some time after its arrival, if its condition still holds; the others
	 * are not done.
	 */
	void fallSilent(long millis, Predicate<String> transaction, long afterMillis) {
		this.late = transaction;
		this.lateMillis = afterMillis;
		this.silentUntil = nowMillis() + millis;
		this.record.add("store answers nothing for " + millis + " ms");
	}

	/** Writes a row as the operator does. */
	synchronized void put(String table, String key, Object value) {
		String text = Json.write(value);
		this.version++;
		write(table, "", key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
		notifyAll();
		this.record.add("operator writes " + table + "/" + key + " " + text);
	}

	private Http.Answer answer(HttpExchange exchange, String body) throws Exception {
		String path = exchange.getRequestURI().getPath();
		if (nowMillis() < this.silentUntil) {
			return stayPending(path, body);
		}
		Map<String, String> query = Http.query(exchange);
		return switch (path) {
			case "/rows-tx" -> transact(body);
			case "/rows-get" -> get(query);
			case "/rows-feed" -> feed(query);
			default -> new Http.Answer(404, Json.of());
		};
	}

	// A channel whose answer is lost delivers nothing more.
	private Http.Answer stayPending(String path, String body) throws InterruptedException {
		boolean isLate = false;
		synchronized (this) {
			if (path.equals("/rows-tx") && this.late.test(body)) {
				this.late = (other) -> false;
				isLate = true;
			}
		}
		if (isLate) {
			this.record.add("store receives a transaction that it will do " + this.lateMillis + " ms later");
			Thread.sleep(this.lateMillis);
			this.record.add("store does the late transaction: " + transact(body).status());
		}
		else {
			Thread.sleep(Math.max(0, this.silentUntil - nowMillis()));
		}
		return new Http.Answer(0, Json.of());
	}

	private synchronized Http.Answer transact(String body) throws InterruptedException {
		Map<String, Object> call = Json.object(body);
		Thread.sleep(TRANSACTION_MILLIS);
		boolean holds = true;
		List<Object> current = new ArrayList<>();
		for (Object element : Json.list(call.get("expected_revision"))) {
			Map<String, Object> expected = Json.map(element);
			Row known = this.rows.get(name(expected));
			Row row = (known != null && known.value() != null) ? known : null;
			holds &= Json.number(expected.get("object_version")) == ((row != null) ? row.version() : 0);
			if (row != null) {
				current.add(toJson(row));
			}
		}
		if (!holds) {
			return new Http.Answer(412,
					Json.of("rows", current, "object_version", this.version, "now_ms", nowMillis()));
		}
		this.version++;
		for (Object element : Json.list(call.get("writes"))) {
			Map<String, Object> row = Json.map(element);
			write((String) row.get("table"), (String) row.get("part"), (String) row.get("key"),
					(String) row.get("value"));
		}
		for (Object element : Json.list(call.get("deletes"))) {
			Map<String, Object> row = Json.map(element);
			write((String) row.get("table"), (String) row.get("part"), (String) row.get("key"), null);
		}
		notifyAll();
		return new Http.Answer(200, Json.of("object_version", this.version, "now_ms", nowMillis()));
	}

	private synchronized Http.Answer get(Map<String, String> query) {
		String from = query.getOrDefault("from", "");
		String target = query.get("target");
		int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
		List<Object> found = new ArrayList<>();
		boolean more = false;
		for (Row row : this.rows.values()) {
			boolean inRange = row.value() != null && row.table().equals(query.get("table"))
					&& row.part().equals(query.getOrDefault("part", "")) && row.key().compareTo(from) >= 0
					&& (target == null || row.key().compareTo(target) < 0);
			if (inRange && found.size() == limit) {
				more = true;
				break;
			}
			if (inRange) {
				found.add(toJson(row));
			}
		}
		return new Http.Answer(200, Json.of("rows", found, "more_pages", more, "object_version", this.version,
				"now_ms", nowMillis()));
	}

	private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long until = nowMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
		while (true) {
			List<Row> changed = new ArrayList<>();
			for (Row row : this.rows.values()) {
				if (row.table().equals(query.get("table")) && row.version() > after) {
					changed.add(row);
				}
			}
			long left = until - nowMillis();
			if (!changed.isEmpty() || left <= 0) {
				changed.sort((some, other) -> Long.compare(some.version(), other.version()));
				return new Http.Answer(200, Json.of("rows", changed.stream().map(Store::toJson).toList(),
						"object_version", this.version, "now_ms", nowMillis()));
			}
			wait(left);
		}
	}

	private void write(String table, String part, String key, String value) {
		this.rows.put(table + "\0" + part + "\0" + key, new Row(table, part, key, value, this.version));
	}

	private static String name(Map<String, Object> place) {
		return place.get("table") + "\0" + place.get("part") + "\0" + place.get("key");
	}

	private static Map<String, Object> toJson(Row row) {
		Map<String, Object> out = Json.of("table", row.table(), "part", row.part(), "key", row.key(),
				"object_version", row.version());
		if (row.value() != null) {
			out.put("value", row.value());
		}
		else {
			out.put("tombstone", true);
		}
		return out;
	}

	private static long nowMillis() {
		return System.nanoTime() / 1_000_000;
	}

}
