package org.almondmount.standins.platform;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.services.util.RateLimiter;

/**
 * The platform's transactional table, in memory. Not thread-safe.
 */
public final class TableRole implements Role {

	private static final int WRITES_PER_SECOND = 400;

	private static final int READS_PER_SECOND = 2_000;

	private final TreeMap<String, StoredRow> rows = new TreeMap<>();

	private final Faults faults;

	private final EventRecord events;

	private RateLimiter writes = new RateLimiter(WRITES_PER_SECOND, System::nanoTime);

	private RateLimiter reads = new RateLimiter(READS_PER_SECOND, System::nanoTime);

	private long writeLimit = WRITES_PER_SECOND;

	private long readLimit = READS_PER_SECOND;

	private long writeCount;

	private long readCount;

	public TableRole(Faults faults, EventRecord events) {
		this.faults = faults;
		this.events = events;
	}

	@Override
	public void take(HttpCall call, Consumer<HttpAnswer> answer) {
		answer.accept(answer(call));
	}

	private HttpAnswer answer(HttpCall call) {
		followLimits();
		String path = Documents.path(call);
		switch (path) {
			case "/v1/transactions":
				return transaction(call);
			case "/v1/row":
				return limitedRead(() -> row(Documents.parameter(call, "key")));
			case "/v1/rows":
				return limitedRead(() -> scan(Documents.parameter(call, "prefix")));
			case "/admin/rows":
				return scan(Documents.parameter(call, "prefix"));
			case "/admin/counts":
				return Documents.answer(200,
						Documents.object().put("writes", this.writeCount).put("reads", this.readCount));
			default:
				return Documents.problem(404, "no such path");
		}
	}

	private HttpAnswer limitedRead(Supplier<HttpAnswer> read) {
		this.readCount++;
		return this.reads.tryAcquire() ? read.get() : Documents.problem(429, "over the rate of reads");
	}

	private HttpAnswer transaction(HttpCall call) {
		this.writeCount++;
		if (!this.writes.tryAcquire()) {
			return Documents.answer(429, outcome("not-committed"));
		}
		JsonNode body = Documents.body(call);
		for (JsonNode condition : body.path("conditions")) {
			String key = condition.path("key").asText();
			long actual = version(key);
			if (actual != condition.path("version").asLong()) {
				this.events.add("conflict").put("key", key).put("version", actual);
				return Documents.answer(409, outcome("conflict").put("key", key).put("version", actual));
			}
		}
		ArrayNode keys = this.events.add("commit").putArray("keys");
		for (JsonNode write : body.path("writes")) {
			String key = write.path("key").asText();
			keys.add(key);
			write(key, write.path("value"));
		}
		return Documents.answer(200, outcome("committed"));
	}

	private void write(String key, JsonNode value) {
		if (value.isTextual()) {
			this.rows.put(key, new StoredRow(version(key) + 1, value.asText()));
		}
		else {
			this.rows.remove(key);
		}
	}

	private HttpAnswer row(String key) {
		StoredRow row = this.rows.get(key);
		if (row == null) {
			return Documents.answer(404, Documents.object().put("detail", "no such row"));
		}
		return Documents.answer(200, document(key, row));
	}

	private HttpAnswer scan(String prefix) {
		ObjectNode document = Documents.object();
		ArrayNode list = document.putArray("rows");
		for (Map.Entry<String, StoredRow> entry : this.rows.tailMap(prefix).entrySet()) {
			if (!entry.getKey().startsWith(prefix)) {
				break;
			}
			list.add(document(entry.getKey(), entry.getValue()));
		}
		return Documents.answer(200, document);
	}

	private long version(String key) {
		StoredRow row = this.rows.get(key);
		return (row != null) ? row.version() : 0;
	}

	private void followLimits() {
		long wanted = orElse(this.faults.value(Fault.WRITES_PER_SECOND), WRITES_PER_SECOND);
		if (wanted != this.writeLimit) {
			this.writeLimit = wanted;
			this.writes = new RateLimiter((int) wanted, System::nanoTime);
		}
		wanted = orElse(this.faults.value(Fault.READS_PER_SECOND), READS_PER_SECOND);
		if (wanted != this.readLimit) {
			this.readLimit = wanted;
			this.reads = new RateLimiter((int) wanted, System::nanoTime);
		}
	}

	private static long orElse(long value, long otherwise) {
		return (value != 0) ? value : otherwise;
	}

	private static ObjectNode outcome(String outcome) {
		return Documents.object().put("outcome", outcome);
	}

	private static ObjectNode document(String key, StoredRow row) {
		return Documents.object().put("key", key).put("version", row.version()).put("value", row.value());
	}

	/**
	 * A row as it is kept.
	 */
	private record StoredRow(long version, String value) {

	}

}
