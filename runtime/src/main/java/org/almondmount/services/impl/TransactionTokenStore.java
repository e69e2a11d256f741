package org.almondmount.services.impl;

import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.services.TableOptions;
import org.almondmount.services.TableService.CommitResult;

/**
 * Accesses the token rows of the table, which record the outcomes of transactions.
 * Thread-safe.
 */
final class TransactionTokenStore {

	/** The value of a row whose transaction took effect. */
	static final String COMMITTED = "committed";

	/** The value of a row whose transaction can never take effect. */
	static final String CANCELLED = "cancelled";

	private static final String PREFIX = "transactions/";

	private final TableExchange exchange;

	private final TableOptions options;

	private final Backoff backoff;

	private final TableMetrics metrics;

	TransactionTokenStore(TableExchange exchange, TableOptions options, Backoff backoff, TableMetrics metrics) {
		this.exchange = exchange;
		this.options = options;
		this.backoff = backoff;
		this.metrics = metrics;
	}

	static String keyOf(String token) {
		return PREFIX + token;
	}

	/**
	 * Cancels a transaction unless it has taken effect already, so that its outcome is
	 * final.
	 * @param key key of the transaction's token row
	 * @return committed, not committed, or unknown when the table does not answer
	 */
	CompletableFuture<CommitResult> cancel(String key) {
		CompletableFuture<CommitResult> result = new CompletableFuture<>();
		cancel(key, 1, result);
		return result;
	}

	/**
	 * Reads the outcome of a transaction whose token row exists.
	 * @param key key of the transaction's token row
	 * @return committed, not committed, or unknown when the table does not answer
	 */
	CompletableFuture<CommitResult> read(String key) {
		CompletableFuture<CommitResult> result = new CompletableFuture<>();
		read(key, 1, result);
		return result;
	}

	private void cancel(String key, int attempt, CompletableFuture<CommitResult> result) {
		this.exchange.send(HttpTableService.transactionCall(cancellationDocument(key))).thenAccept((reply) -> {
			if (reply instanceof TableExchange.Reply.Conclusive conclusive) {
				if (conclusive.isConflict()) {
					read(key, 1, result);
				}
				else {
					result.complete(cancelledResult());
				}
				return;
			}
			retryOrGiveUp((TableExchange.Reply.Inconclusive) reply, attempt, result,
					() -> cancel(key, attempt + 1, result));
		});
	}

	private void read(String key, int attempt, CompletableFuture<CommitResult> result) {
		this.exchange.send(HttpTableService.readCall(key)).thenAccept((reply) -> {
			if (reply instanceof TableExchange.Reply.Conclusive conclusive) {
				result.complete(toResult(conclusive));
				return;
			}
			retryOrGiveUp((TableExchange.Reply.Inconclusive) reply, attempt, result,
					() -> read(key, attempt + 1, result));
		});
	}

	private void retryOrGiveUp(TableExchange.Reply.Inconclusive reply, int attempt,
			CompletableFuture<CommitResult> result, Runnable retry) {
		if (attempt >= this.options.maxAttempts()) {
			result.complete(new CommitResult.Unknown(reply.detail()));
			return;
		}
		this.metrics.recordRetry(reply.retryReason());
		this.backoff.scheduleAfterAttempt(attempt, retry);
	}

	private static CommitResult toResult(TableExchange.Reply.Conclusive row) {
		String value = row.body().path("value").asText();
		if (COMMITTED.equals(value)) {
			return new CommitResult.Committed();
		}
		if (CANCELLED.equals(value)) {
			return cancelledResult();
		}
		return new CommitResult.Unknown("the transaction's token row does not exist");
	}

	private static CommitResult cancelledResult() {
		return new CommitResult.NotCommitted("the transaction was cancelled before it took effect");
	}

	private static ObjectNode cancellationDocument(String key) {
		ObjectNode body = Json.createObject();
		body.putArray("conditions").addObject().put("key", key).put("version", 0);
		body.putArray("writes").addObject().put("key", key).put("value", CANCELLED);
		return body;
	}

}
