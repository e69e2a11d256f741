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
import org.almondmount.services.util.RateLimiter;
import org.almondmount.telemetry.Telemetry;

/**
 * Client of the platform's table over HTTP with JSON. Thread-safe.
 */
public final class HttpTableService implements TableService {

	private static final int NOT_FOUND = 404;

	private static final String RATE_LIMIT_EXCEEDED = "this process's own limit of operations per second is reached";

	private final TableExchange exchange;

	private final TableOptions options;

	private final Backoff backoff;

	private final TableMetrics metrics;

	private final TransactionTokenStore tokenStore;

	private final TokenCleanupQueue tokenCleanupQueue = new TokenCleanupQueue(System::nanoTime);

	private final RateLimiter writeLimiter;

	private final RateLimiter readLimiter;

	/**
	 * Creates a client of the table.
	 * @param client sends the calls
	 * @param io schedules the pauses between attempts
	 * @param table the address of the table
	 * @param options timeouts, attempts and rate limits
	 * @param telemetry counts outcomes and retries
	 */
	public HttpTableService(HttpClient client, IoThreads io, InetSocketAddress table, TableOptions options,
			Telemetry telemetry) {
		this.options = options;
		this.metrics = new TableMetrics(telemetry);
		this.exchange = new TableExchange(client, table, options, this.metrics);
		this.backoff = new Backoff(io, options.initialBackoff());
		this.tokenStore = new TransactionTokenStore(this.exchange, options, this.backoff, this.metrics);
		this.writeLimiter = new RateLimiter(options.writesPerSecond(), System::nanoTime);
		this.readLimiter = new RateLimiter(options.readsPerSecond(), System::nanoTime);
	}

	@Override
	public CompletableFuture<ReadResult<Optional<Row>>> read(String key) {
		return read(readCall(key),
				(reply) -> (reply.status() == NOT_FOUND) ? Optional.<Row>empty() : Optional.of(parseRow(reply.body())));
	}

	@Override
	public CompletableFuture<ReadResult<List<Row>>> scan(String prefix) {
		return read(Json.call("GET", "/v1/rows?prefix=" + Json.urlEncode(prefix)), (reply) -> parseRows(reply.body()));
	}

	@Override
	public CompletableFuture<CommitResult> commit(Transaction transaction) {
		if (!this.writeLimiter.tryAcquire()) {
			this.metrics.recordOutcome(TableOutcome.OVER_RATE);
			return CompletableFuture.completedFuture(new CommitResult.NotCommitted(RATE_LIMIT_EXCEEDED));
		}
		String tokenKey = TransactionTokenStore.keyOf(transaction.token());
		List<String> expiredTokenKeys = this.tokenCleanupQueue.pollExpired();
		HttpCall call = transactionCall(document(transaction, tokenKey, expiredTokenKeys));
		return new TableCommit(this.exchange, this.options, this.backoff, this.metrics, this.tokenStore, call, tokenKey)
			.run()
			.thenApply((result) -> {
				recordOutcome(result, tokenKey, expiredTokenKeys);
				return result;
			});
	}

	@Override
	public CompletableFuture<CommitResult> resolve(String token) {
		if (!this.writeLimiter.tryAcquire()) {
			this.metrics.recordOutcome(TableOutcome.OVER_RATE);
			return CompletableFuture.completedFuture(new CommitResult.Unknown(RATE_LIMIT_EXCEEDED));
		}
		String tokenKey = TransactionTokenStore.keyOf(token);
		return this.tokenStore.cancel(tokenKey).thenApply((result) -> {
			recordOutcome(result, tokenKey, List.of());
			return result;
		});
	}

	static HttpCall transactionCall(ObjectNode document) {
		return Json.call("POST", "/v1/transactions", document);
	}

	static HttpCall readCall(String key) {
		return Json.call("GET", "/v1/row?key=" + Json.urlEncode(key));
	}

	private void recordOutcome(CommitResult result, String tokenKey, List<String> expiredTokenKeys) {
		this.metrics.recordOutcome(result);
		if (!(result instanceof CommitResult.Unknown) && !(result instanceof CommitResult.Conflict)) {
			this.tokenCleanupQueue.add(tokenKey);
		}
		if (!(result instanceof CommitResult.Committed)) {
			expiredTokenKeys.forEach(this.tokenCleanupQueue::add);
		}
	}

	private <T> CompletableFuture<ReadResult<T>> read(HttpCall call,
			Function<TableExchange.Reply.Conclusive, T> converter) {
		if (!this.readLimiter.tryAcquire()) {
			this.metrics.recordOutcome(TableOutcome.OVER_RATE);
			return CompletableFuture.completedFuture(new ReadResult.Unavailable<>(RATE_LIMIT_EXCEEDED));
		}
		CompletableFuture<ReadResult<T>> result = new CompletableFuture<>();
		read(call, converter, 1, result);
		return result;
	}

	private <T> void read(HttpCall call, Function<TableExchange.Reply.Conclusive, T> converter, int attempt,
			CompletableFuture<ReadResult<T>> result) {
		this.exchange.send(call).thenAccept((reply) -> {
			if (reply instanceof TableExchange.Reply.Conclusive conclusive) {
				this.metrics.recordOutcome(TableOutcome.READ);
				result.complete(new ReadResult.Found<>(converter.apply(conclusive)));
				return;
			}
			TableExchange.Reply.Inconclusive inconclusive = (TableExchange.Reply.Inconclusive) reply;
			if (attempt >= this.options.maxAttempts()) {
				this.metrics.recordOutcome(TableOutcome.UNREAD);
				result.complete(new ReadResult.Unavailable<>(inconclusive.detail()));
				return;
			}
			this.metrics.recordRetry(inconclusive.retryReason());
			this.backoff.scheduleAfterAttempt(attempt, () -> read(call, converter, attempt + 1, result));
		});
	}

	// The token's condition must be the first: the table reports the first condition that
	// does not hold, and a retry must detect its own token before it sees the new
	// versions of the rows that an earlier attempt wrote.
	private static ObjectNode document(Transaction transaction, String tokenKey, List<String> expiredTokenKeys) {
		ObjectNode document = Json.createObject();
		ArrayNode conditions = document.putArray("conditions");
		conditions.addObject().put("key", tokenKey).put("version", 0);
		for (Condition condition : transaction.conditions()) {
			conditions.addObject().put("key", condition.key()).put("version", condition.version());
		}
		ArrayNode writes = document.putArray("writes");
		writes.addObject().put("key", tokenKey).put("value", TransactionTokenStore.COMMITTED);
		for (Write write : transaction.writes()) {
			writes.addObject().put("key", write.key()).put("value", write.value().orElse(null));
		}
		for (String key : expiredTokenKeys) {
			writes.addObject().put("key", key).putNull("value");
		}
		return document;
	}

	private static List<Row> parseRows(JsonNode body) {
		List<Row> rows = new ArrayList<>();
		for (JsonNode row : body.path("rows")) {
			rows.add(parseRow(row));
		}
		return rows;
	}

	private static Row parseRow(JsonNode row) {
		return new Row(row.path("key").asText(), row.path("version").asLong(), row.path("value").asText());
	}

}
