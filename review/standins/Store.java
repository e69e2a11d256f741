import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;

/**
 * Stand-in for the platform's store: rows in tables and parts, transactions, and the feed of changes,
 * as PROTOCOL.md describes them. It is sound: it loses nothing, and its answers are linearizable.
 */
final class Store {

	private static final int MAX_ROWS = 500;

	private static final int MAX_ENTRIES = 100;

	private static final int ROW_BYTES = 65_536;

	private static final int MAX_CALL_BYTES = 1_000_000;

	private static final long TRANSACTION_MILLIS = 5;

	private static final long READ_MILLIS = 4;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final Map<String, Object> partLocks = new HashMap<>();

	private final HttpServer server;

	private long version = 1;

	private volatile boolean down;

	Store(InetSocketAddress address, ExecutorService executor) throws IOException {
		this.server = HttpServer.create(address, 1024);
		this.server.setExecutor(executor);
		this.server.createContext("/rows-tx", (exchange) -> serve(exchange, this::transact));
		this.server.createContext("/rows-get", (exchange) -> serve(exchange, this::read));
		this.server.createContext("/rows-feed", (exchange) -> serve(exchange, this::feed));
		this.server.start();
	}

	/** Closes the channel of each call without an answer and does nothing, or serves calls again. */
	void down(boolean isDown) {
		this.down = isDown;
	}

	/** Writes a row as the operator. */
	synchronized void put(String table, String key, JsonNode value) {
		this.version++;
		String id = id(table, "", key);
		this.rows.put(id, new Row(table, "", key, this.version,
				Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8))));
		notifyAll();
	}

	private void serve(HttpExchange exchange, HttpHandler handler) throws IOException {
		if (this.down) {
			exchange.close();
			return;
		}
		handler.handle(exchange);
	}

	private void transact(HttpExchange exchange) throws IOException {
		byte[] bytes = exchange.getRequestBody().readAllBytes();
		if (bytes.length > MAX_CALL_BYTES) {
			Json.answer(exchange, 413, Json.object());
			return;
		}
		JsonNode body = Json.parse(new String(bytes, StandardCharsets.UTF_8));
		int entries = body.path("expected_revision").size() + body.path("writes").size() + body.path("deletes").size();
		String part = partOf(body);
		if (entries > MAX_ENTRIES || part == null || hasLargeRow(body)) {
			Json.answer(exchange, 400, Json.object());
			return;
		}
		synchronized (partLock(part)) {
			pause(TRANSACTION_MILLIS);
			ObjectNode answer = Json.object();
			int status = apply(body, answer);
			Json.answer(exchange, status, answer);
		}
	}

	private synchronized Object partLock(String part) {
		return this.partLocks.computeIfAbsent(part, (name) -> new Object());
	}

	private static String partOf(JsonNode body) {
		String part = null;
		for (String list : List.of("expected_revision", "writes", "deletes")) {
			for (JsonNode entry : body.path(list)) {
				String other = entry.path("part").asText();
				if (part != null && !part.equals(other)) {
					return null;
				}
				part = other;
			}
		}
		return part;
	}

	private static boolean hasLargeRow(JsonNode body) {
		for (JsonNode write : body.path("writes")) {
			if (Base64.getDecoder().decode(write.path("value").asText()).length > ROW_BYTES) {
				return true;
			}
		}
		return false;
	}

	private synchronized int apply(JsonNode body, ObjectNode answer) {
		boolean holds = true;
		ArrayNode current = Json.array();
		for (JsonNode condition : body.path("expected_revision")) {
			Row row = this.rows.get(id(condition));
			long found = (row == null || row.value == null) ? 0 : row.version;
			holds &= found == condition.path("object_version").asLong();
			if (found != 0) {
				current.add(row.toJson());
			}
		}
		if (!holds) {
			answer.set("rows", current);
			stamp(answer);
			return 412;
		}
		this.version++;
		for (JsonNode write : body.path("writes")) {
			this.rows.put(id(write), new Row(write.path("table").asText(), write.path("part").asText(),
					write.path("key").asText(), this.version, write.path("value").asText()));
		}
		for (JsonNode deletion : body.path("deletes")) {
			if (this.rows.containsKey(id(deletion))) {
				this.rows.put(id(deletion), new Row(deletion.path("table").asText(), deletion.path("part").asText(),
						deletion.path("key").asText(), this.version, null));
			}
		}
		notifyAll();
		stamp(answer);
		return 200;
	}

	private void read(HttpExchange exchange) throws IOException {
		Map<String, String> query = Json.query(exchange);
		pause(READ_MILLIS);
		ObjectNode answer = Json.object();
		synchronized (this) {
			int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
			String from = query.getOrDefault("from", "");
			String target = query.getOrDefault("target", "");
			ArrayNode found = answer.putArray("rows");
			boolean more = false;
			for (Row row : this.rows.values()) {
				boolean wanted = row.value != null && row.table.equals(query.get("table"))
						&& row.part.equals(query.getOrDefault("part", "")) && row.key.compareTo(from) >= 0
						&& (target.isEmpty() || row.key.compareTo(target) < 0);
				if (!wanted) {
					continue;
				}
				if (found.size() >= limit) {
					more = true;
					break;
				}
				found.add(row.toJson());
			}
			answer.put("more_pages", more);
			stamp(answer);
		}
		Json.answer(exchange, 200, answer);
	}

	private void feed(HttpExchange exchange) throws IOException {
		Map<String, String> query = Json.query(exchange);
		long after = Long.parseLong(query.get("after"));
		long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		pause(READ_MILLIS);
		ObjectNode answer = Json.object();
		synchronized (this) {
			List<Row> changed = changedRows(query.get("table"), after);
			while (changed.isEmpty() && System.nanoTime() < until) {
				try {
					wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					break;
				}
				changed = changedRows(query.get("table"), after);
			}
			ArrayNode found = answer.putArray("rows");
			changed.forEach((row) -> found.add(row.toJson()));
			stamp(answer);
		}
		Json.answer(exchange, 200, answer);
	}

	private List<Row> changedRows(String table, long after) {
		List<Row> changed = new ArrayList<>();
		for (Row row : this.rows.values()) {
			if (row.table.equals(table) && row.version > after) {
				changed.add(row);
			}
		}
		changed.sort(Comparator.comparingLong((row) -> row.version));
		return changed;
	}

	private void stamp(ObjectNode answer) {
		answer.put("object_version", this.version).put("now_ms", System.nanoTime() / 1_000_000);
	}

	private static String id(JsonNode place) {
		return id(place.path("table").asText(), place.path("part").asText(), place.path("key").asText());
	}

	private static String id(String table, String part, String key) {
		return table + "\0" + part + "\0" + key;
	}

	static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private record Row(String table, String part, String key, long version, String value) {

		ObjectNode toJson() {
			ObjectNode out = Json.object();
			out.put("table", this.table).put("part", this.part).put("key", this.key);
			out.put("object_version", this.version);
			if (this.value == null) {
				out.put("tombstone", true);
			}
			else {
				out.put("value", this.value);
			}
			return out;
		}

	}

}
