package org.almondmount.services.impl;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpClient;
import org.almondmount.net.IoThreads;
import org.almondmount.services.TableOptions;
import org.almondmount.services.TableOutcome;
import org.almondmount.services.TableService;
import org.almondmount.services.util.RateBound;
import org.almondmount.telemetry.Telemetry;

/**
 * The platform's table over HTTP with JSON. Thread-safe.
 */
public final class HttpTableService implements TableService {

	private static final int NOT_FOUND = 404;

	private static final String OVER_RATE = "this process's own bound on operations a second is reached";

	private final TableExchange exchange;

	private final TableOptions options;

	private final Backoff backoff;

	private final TableMetrics metrics;

	private final TokenRows tokens;

	private final TokenLedger ledger = new TokenLedger(System::nanoTime);

	private final RateBound writes;

	private final RateBound reads;

	/**
	 * Makes a client of the table.
	 * @param client sends the calls
	 * @param io times the pauses between attempts
	 * @param table where the table listens
	 * @param options timeouts, attempts and rates
	 * @param telemetry counts endings and retries
	 */
	public HttpTableService(HttpClient client, IoThreads io, InetSocketAddress table, TableOptions options,
			Telemetry telemetry) {
		this.options = options;
		this.metrics = new TableMetrics(telemetry);
		this.exchange = new TableExchange(client, table, options, this.metrics);
		this.backoff = new Backoff(io, options.backoff());
		this.tokens = new TokenRows(this.exchange, options, this.backoff, this.metrics);
		this.writes = new RateBound(options.writesPerSecond(), System::nanoTime);
		this.reads = new RateBound(options.readsPerSecond(), System::nanoTime);
	}

	@Override
	public CompletableFuture<ReadResult<Optional<Row>>> read(String key) {
		return read(readCall(key),
				(reply) -> (reply.status() == NOT_FOUND) ? Optional.<Row>empty() : Optional.of(row(reply.body())));
	}

	@Override
	public CompletableFuture<ReadResult<List<Row>>> scan(String prefix) {
		return read(Json.call("GET", "/v1/rows?prefix=" + Json.escape(prefix)), (reply) -> rows(reply.body()));
	}

	@Override
	public CompletableFuture<CommitResult> commit(Transaction transaction) {
		if (!this.writes.tryTake()) {
			this.metrics.ended(TableOutcome.OVER_RATE);
			return CompletableFuture.completedFuture(new CommitResult.NotCommitted(OVER_RATE));
		}
		String tokenKey = TokenRows.key(transaction.token());
		List<String> old = this.ledger.takeOld();
		HttpCall call = transaction(document(transaction, tokenKey, old));
		return new TableCommit(this.exchange, this.options, this.backoff, this.metrics, this.tokens, call, tokenKey)
			.run()
			.thenApply((result) -> {
				ended(result, tokenKey, old);
				return result;
			});
	}

	@Override
	public CompletableFuture<CommitResult> settle(String token) {
		if (!this.writes.tryTake()) {
			this.metrics.ended(TableOutcome.OVER_RATE);
			return CompletableFuture.completedFuture(new CommitResult.Unknown(OVER_RATE));
		}
		String tokenKey = TokenRows.key(token);
		return this.tokens.cancel(tokenKey).thenApply((result) -> {
			ended(result, tokenKey, List.of());
			return result;
		});
	}

	static HttpCall transaction(ObjectNode document) {
		return Json.call("POST", "/v1/transactions", document);
	}

	static HttpCall readCall(String key) {
		return Json.call("GET", "/v1/row?key=" + Json.escape(key));
	}

	private void ended(CommitResult result, String tokenKey, List<String> old) {
		this.metrics.ended(result);
		if (!(result instanceof CommitResult.Unknown) && !(result instanceof CommitResult.Conflict)) {
			this.ledger.settled(tokenKey);
		}
		if (!(result instanceof CommitResult.Committed)) {
			old.forEach(this.ledger::settled);
		}
	}

	private <T> CompletableFuture<ReadResult<T>> read(HttpCall call,
			Function<TableExchange.Reply.Useful, T> conversion) {
		if (!this.reads.tryTake()) {
			this.metrics.ended(TableOutcome.OVER_RATE);
			return CompletableFuture.completedFuture(new ReadResult.Unavailable<>(OVER_RATE));
		}
		CompletableFuture<ReadResult<T>> result = new CompletableFuture<>();
		read(call, conversion, 1, result);
		return result;
	}

	private <T> void read(HttpCall call, Function<TableExchange.Reply.Useful, T> conversion, int attempt,
			CompletableFuture<ReadResult<T>> result) {
		this.exchange.send(call).thenAccept((reply) -> {
			if (reply instanceof TableExchange.Reply.Useful useful) {
				this.metrics.ended(TableOutcome.READ);
				result.complete(new ReadResult.Found<>(conversion.apply(useful)));
				return;
			}
			TableExchange.Reply.Nothing nothing = (TableExchange.Reply.Nothing) reply;
			if (attempt >= this.options.attempts()) {
				this.metrics.ended(TableOutcome.UNREAD);
				result.complete(new ReadResult.Unavailable<>(nothing.why()));
				return;
			}
			this.metrics.retried(nothing.reason());
			this.backoff.after(attempt, () -> read(call, conversion, attempt + 1, result));
		});
	}

	// The token's condition stands first: the table names the first condition that does
	// not hold, and a repeat has to learn of its own token before it learns that the rows
	// which it wrote itself have moved on.
	private static ObjectNode document(Transaction transaction, String tokenKey, List<String> old) {
		ObjectNode document = Json.object();
		ArrayNode conditions = document.putArray("conditions");
		conditions.addObject().put("key", tokenKey).put("version", 0);
		for (Condition condition : transaction.conditions()) {
			conditions.addObject().put("key", condition.key()).put("version", condition.version());
		}
		ArrayNode writes = document.putArray("writes");
		writes.addObject().put("key", tokenKey).put("value", TokenRows.COMMITTED);
		for (Write write : transaction.writes()) {
			writes.addObject().put("key", write.key()).put("value", write.value().orElse(null));
		}
		for (String key : old) {
			writes.addObject().put("key", key).putNull("value");
		}
		return document;
	}

	private static List<Row> rows(JsonNode body) {
		List<Row> rows = new ArrayList<>();
		for (JsonNode row : body.path("rows")) {
			rows.add(row(row));
		}
		return rows;
	}

	private static Row row(JsonNode row) {
		return new Row(row.path("key").asText(), row.path("version").asLong(), row.path("value").asText());
	}

}
