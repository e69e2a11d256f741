package org.almondmount.services.impl;

import java.util.concurrent.CompletableFuture;

import org.almondmount.http.HttpCall;
import org.almondmount.services.TableOptions;
import org.almondmount.services.TableService.CommitResult;

/**
 * Commits one transaction with retries. Attempts are sequential, so no two threads use an
 * instance at the same time.
 * <p>
 * Every attempt sends the same transaction, whose first condition is that its token row
 * does not exist. A retry after a lost answer therefore can't apply the transaction
 * twice: it conflicts on the token row, whose value is the outcome of the earlier
 * attempt.
 */
final class TableCommit {

	private final TableExchange exchange;

	private final TableOptions options;

	private final Backoff backoff;

	private final TableMetrics metrics;

	private final HttpCall call;

	private final String tokenKey;

	private final TransactionTokenStore tokenStore;

	private final CompletableFuture<CommitResult> result = new CompletableFuture<>();

	private int attempt;

	private boolean mayHaveTakenEffect;

	TableCommit(TableExchange exchange, TableOptions options, Backoff backoff, TableMetrics metrics,
			TransactionTokenStore tokenStore, HttpCall call, String tokenKey) {
		this.exchange = exchange;
		this.options = options;
		this.backoff = backoff;
		this.metrics = metrics;
		this.tokenStore = tokenStore;
		this.call = call;
		this.tokenKey = tokenKey;
	}

	CompletableFuture<CommitResult> run() {
		send();
		return this.result;
	}

	private void send() {
		this.attempt++;
		this.exchange.send(this.call).thenAccept(this::onReply);
	}

	private void onReply(TableExchange.Reply reply) {
		if (reply instanceof TableExchange.Reply.Conclusive conclusive) {
			onConclusiveReply(conclusive);
			return;
		}
		TableExchange.Reply.Inconclusive inconclusive = (TableExchange.Reply.Inconclusive) reply;
		this.mayHaveTakenEffect |= inconclusive.mayHaveTakenEffect();
		if (this.attempt < this.options.maxAttempts()) {
			this.metrics.recordRetry(inconclusive.retryReason());
			this.backoff.scheduleAfterAttempt(this.attempt, this::send);
			return;
		}
		this.result.complete(this.mayHaveTakenEffect ? new CommitResult.Unknown(inconclusive.detail())
				: new CommitResult.NotCommitted(inconclusive.detail()));
	}

	private void onConclusiveReply(TableExchange.Reply.Conclusive reply) {
		if (!reply.isConflict()) {
			this.result.complete(new CommitResult.Committed());
			return;
		}
		String key = reply.body().path("key").asText();
		CommitResult conflict = new CommitResult.Conflict(key, reply.body().path("version").asLong());
		if (key.equals(this.tokenKey)) {
			this.tokenStore.read(this.tokenKey).thenAccept(this.result::complete);
		}
		else if (this.mayHaveTakenEffect) {
			this.tokenStore.cancel(this.tokenKey)
				.thenAccept((resolved) -> this.result
					.complete((resolved instanceof CommitResult.NotCommitted) ? conflict : resolved));
		}
		else {
			this.result.complete(conflict);
		}
	}

}
