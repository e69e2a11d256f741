package org.almondmount.services.impl;

import java.util.concurrent.CompletableFuture;

import org.almondmount.http.HttpCall;
import org.almondmount.services.TableOptions;
import org.almondmount.services.TableService.CommitResult;

/**
 * One transaction on its way through several attempts. Its attempts follow each other, so
 * no two threads use it at the same time.
 * <p>
 * Every attempt sends the same transaction, whose first condition is that its token's row
 * is not there. A lost answer thus makes no second effect: the next attempt conflicts on
 * the token, and the row's value says how the first one ended.
 */
final class TableCommit {

	private final TableExchange exchange;

	private final TableOptions options;

	private final Backoff backoff;

	private final TableMetrics metrics;

	private final HttpCall call;

	private final String tokenKey;

	private final TokenRows tokens;

	private final CompletableFuture<CommitResult> result = new CompletableFuture<>();

	private int attempt;

	private boolean mayHaveTakenEffect;

	TableCommit(TableExchange exchange, TableOptions options, Backoff backoff, TableMetrics metrics, TokenRows tokens,
			HttpCall call, String tokenKey) {
		this.exchange = exchange;
		this.options = options;
		this.backoff = backoff;
		this.metrics = metrics;
		this.tokens = tokens;
		this.call = call;
		this.tokenKey = tokenKey;
	}

	CompletableFuture<CommitResult> run() {
		send();
		return this.result;
	}

	private void send() {
		this.attempt++;
		this.exchange.send(this.call).thenAccept(this::replied);
	}

	private void replied(TableExchange.Reply reply) {
		if (reply instanceof TableExchange.Reply.Useful useful) {
			answered(useful);
			return;
		}
		TableExchange.Reply.Nothing nothing = (TableExchange.Reply.Nothing) reply;
		this.mayHaveTakenEffect |= nothing.mayHaveTakenEffect();
		if (this.attempt < this.options.attempts()) {
			this.metrics.retried(nothing.reason());
			this.backoff.after(this.attempt, this::send);
			return;
		}
		this.result.complete(this.mayHaveTakenEffect ? new CommitResult.Unknown(nothing.why())
				: new CommitResult.NotCommitted(nothing.why()));
	}

	private void answered(TableExchange.Reply.Useful useful) {
		if (!useful.isConflict()) {
			this.result.complete(new CommitResult.Committed());
			return;
		}
		String key = useful.body().path("key").asText();
		CommitResult conflict = new CommitResult.Conflict(key, useful.body().path("version").asLong());
		if (key.equals(this.tokenKey)) {
			this.tokens.read(this.tokenKey).thenAccept(this.result::complete);
		}
		else if (this.mayHaveTakenEffect) {
			this.tokens.cancel(this.tokenKey)
				.thenAccept((settled) -> this.result
					.complete((settled instanceof CommitResult.NotCommitted) ? conflict : settled));
		}
		else {
			this.result.complete(conflict);
		}
	}

}
