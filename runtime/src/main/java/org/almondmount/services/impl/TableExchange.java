package org.almondmount.services.impl;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpClient;
import org.almondmount.http.HttpFailure;
import org.almondmount.services.TableOptions;
import org.almondmount.services.TableRetryReason;

/**
 * Performs single exchanges with the table and classifies their replies by the effect on
 * the operation. Thread-safe.
 */
final class TableExchange {

	private static final int CONFLICT = 409;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final HttpClient client;

	private final InetSocketAddress table;

	private final TableOptions options;

	private final TableMetrics metrics;

	TableExchange(HttpClient client, InetSocketAddress table, TableOptions options, TableMetrics metrics) {
		this.client = client;
		this.table = table;
		this.options = options;
		this.metrics = metrics;
	}

	/**
	 * Sends a call.
	 * @param call the call
	 * @return the classified reply; never completes exceptionally
	 */
	CompletableFuture<Reply> send(HttpCall call) {
		this.metrics.recordSent();
		return this.client.send(this.table, call, this.options.timeout()).handle(TableExchange::classify);
	}

	private static Reply classify(HttpAnswer answer, Throwable failure) {
		if (failure != null) {
			boolean arrived = !(failure instanceof HttpFailure known) || known.mayHaveArrived();
			return new Reply.Inconclusive(arrived ? TableRetryReason.ANSWER_LOST : TableRetryReason.NOT_SENT,
					failure.getMessage());
		}
		JsonNode body = Json.parseBody(answer);
		if (answer.status() == TOO_MANY_REQUESTS) {
			return new Reply.Inconclusive(TableRetryReason.RATE,
					"the table refused the operation because of its rate limit");
		}
		if (answer.status() == SERVICE_UNAVAILABLE && "not-committed".equals(body.path("outcome").asText())) {
			return new Reply.Inconclusive(TableRetryReason.AWAY, "the table is unavailable");
		}
		boolean useful = answer.status() < 300 || answer.status() == 404 || answer.status() == CONFLICT;
		if (!useful || !body.isObject()) {
			return new Reply.Inconclusive(TableRetryReason.ANSWER_LOST, "the table answered " + answer.status());
		}
		return new Reply.Conclusive(answer.status(), body);
	}

	/**
	 * The classified result of an exchange.
	 */
	sealed interface Reply {

		/** An answer that determines the outcome of the operation. */
		record Conclusive(int status, JsonNode body) implements Reply {

			boolean isConflict() {
				return this.status == CONFLICT;
			}

		}

		/**
		 * No answer that determines the outcome; the operation is retried if attempts
		 * remain.
		 */
		record Inconclusive(TableRetryReason retryReason, String detail) implements Reply {

			boolean mayHaveTakenEffect() {
				return this.retryReason == TableRetryReason.ANSWER_LOST;
			}

		}

	}

}
