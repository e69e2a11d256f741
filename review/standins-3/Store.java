import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store: rows, transactions and the feed of changes. */
final class Store {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int MAX_ENTRIES = 100;

	private static final int MAX_CALL_BYTES = 1 << 20;

	private static final int MAX_ROW_BYTES = 65_536;

	private static final long TRANSACTION_MILLIS = 5;

	private final TreeMap<String, ObjectNode> rows = new TreeMap<>();

	private final Map<String, Object> parts = new ConcurrentHashMap<>();

	private final HttpServer server;

	private long version = 1;

	private long tooLarge;

	Store(InetSocketAddress address) throws IOException {
		this.server = HttpServer.create(address, 200);
		this.server.setExecutor(Executors.newCachedThreadPool((work) -> {
			Thread thread = new Thread(work, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	synchronized void putAsOperator(String key, JsonNode value) {
		this.version++;
		write(JSON.createObjectNode().put("table", "op").put("part", "").put("key", key).put("value",
				Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8))));
		notifyAll();
	}

	synchronized long refusedForSize() {
		return this.tooLarge;
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			byte[] body = exchange.getRequestBody().readAllBytes();
			String path = exchange.getRequestURI().getPath();
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			switch (path) {
				case "/rows-tx" -> transact(exchange, body);
				case "/rows-get" -> Http.answer(exchange, 200, read(query));
				case "/rows-feed" -> Http.answer(exchange, 200, feed(query));
				default -> Http.answer(exchange, 404, JSON.createObjectNode());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private void transact(HttpExchange exchange, byte[] bytes) throws IOException, InterruptedException {
		JsonNode body = JSON.readTree(bytes);
		int entries = 0;
		boolean fits = bytes.length <= MAX_CALL_BYTES;
		String part = "";
		for (String list : List.of("expected_revision", "writes", "deletes")) {
			for (JsonNode row : body.path(list)) {
				entries++;
				part = row.path("part").asText();
				fits &= Base64.getDecoder().decode(row.path("value").asText("")).length <= MAX_ROW_BYTES;
			}
		}
		if (!fits || entries > MAX_ENTRIES) {
			synchronized (this) {
				this.tooLarge++;
			}
			Http.answer(exchange, 400, JSON.createObjectNode());
			return;
		}
		synchronized (this.parts.computeIfAbsent(part, (name) -> new Object())) {
			Thread.sleep(TRANSACTION_MILLIS);
			ObjectNode answer = JSON.createObjectNode();
			int status = apply(body, answer);
			Http.answer(exchange, status, answer);
		}
	}

	private synchronized int apply(JsonNode body, ObjectNode answer) {
		boolean holds = true;
		ArrayNode current = JSON.createArrayNode();
		for (JsonNode condition : body.path("expected_revision")) {
			ObjectNode row = this.rows.get(id(condition));
			boolean present = row != null && row.has("value");
			holds &= (present ? row.path("object_version").asLong() : 0) == condition.path("object_version").asLong();
			if (present) {
				current.add(row.deepCopy());
			}
		}
		if (!holds) {
			answer.set("rows", current);
			stamp(answer);
			return 412;
		}
		this.version++;
		body.path("writes").forEach((row) -> write(((ObjectNode) row).deepCopy()));
		body.path("deletes").forEach((row) -> write(((ObjectNode) row).deepCopy().put("tombstone", true)));
		notifyAll();
		stamp(answer);
		return 200;
	}

	private synchronized ObjectNode read(Map<String, String> query) {
		ObjectNode answer = JSON.createObjectNode();
		ArrayNode found = answer.putArray("rows");
		int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
		String prefix = query.get("table") + "\0" + query.getOrDefault("part", "") + "\0";
		long bytes = 0;
		boolean more = false;
		for (Map.Entry<String, ObjectNode> entry : this.rows.tailMap(prefix + query.getOrDefault("from", ""))
			.entrySet()) {
			if (!entry.getKey().startsWith(prefix)) {
				break;
			}
			if (!entry.getValue().has("value")) {
				continue;
			}
			bytes += entry.getValue().path("value").asText().length();
			if (found.size() >= limit || (bytes > MAX_CALL_BYTES && !found.isEmpty())) {
				more = true;
				break;
			}
			found.add(entry.getValue().deepCopy());
		}
		answer.put("more_pages", more);
		return stamp(answer);
	}

	private synchronized ObjectNode feed(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		while (true) {
			List<ObjectNode> changed = new ArrayList<>();
			for (ObjectNode row : this.rows.values()) {
				if (row.path("table").asText().equals(query.get("table")) && row.path("object_version").asLong() > after) {
					changed.add(row.deepCopy());
				}
			}
			long millis = (end - System.nanoTime()) / 1_000_000;
			if (!changed.isEmpty() || millis <= 0) {
				changed.sort(Comparator.comparingLong((row) -> row.path("object_version").asLong()));
				ObjectNode answer = JSON.createObjectNode();
				answer.putArray("rows").addAll(changed);
				return stamp(answer);
			}
			wait(millis);
		}
	}

	private void write(ObjectNode row) {
		this.rows.put(id(row), row.put("object_version", this.version));
	}

	private ObjectNode stamp(ObjectNode answer) {
		return answer.put("object_version", this.version).put("now_ms", System.nanoTime() / 1_000_000);
	}

	private static String id(JsonNode row) {
		return row.path("table").asText() + "\0" + row.path("part").asText() + "\0" + row.path("key").asText();
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new HashMap<>();
		for (String pair : (text == null ? "" : text).split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		return query;
	}

}
