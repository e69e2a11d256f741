package org.almondmount.daemon.entry.api;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.json.KeyText;
import org.almondmount.http.HeadCheck;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpExchange;
import org.almondmount.http.HttpHandler;
import org.almondmount.http.Problem;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.MetricsDocument;
import org.almondmount.telemetry.Telemetry;

/**
 * The HTTP interface of an entry: probes and metrics are answered here, calls are checked
 * for their token and handed on. Thread-safe.
 */
public final class EntryHttp implements HttpHandler {

	private static final EventLog LOG = EventLog.of(EntryHttp.class);

	private static final String CALLS = "/v1/call/";

	private static final String API = "/v1/";

	private static final int LARGEST_DOCUMENT = 256 << 10;

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final Duration COME_BACK = Duration.ofSeconds(1);

	private final Tokens tokens;

	private final Telemetry telemetry;

	private final MetricsDocument metrics;

	private final Routes routes;

	private volatile boolean refusing;

	/**
	 * Makes the interface.
	 * @param tokens the callers' tokens
	 * @param telemetry the metrics, counted and shown
	 * @param routes where calls go
	 */
	public EntryHttp(Tokens tokens, Telemetry telemetry, Routes routes) {
		this.tokens = tokens;
		this.telemetry = telemetry;
		this.metrics = new MetricsDocument(telemetry.registry());
		this.routes = routes;
	}

	/** Refuses every call from now on; probes are still answered. */
	public void refuseCalls() {
		this.refusing = true;
	}

	@Override
	public void handle(HttpExchange exchange) {
		try {
			route(exchange);
		}
		catch (RuntimeException ex) {
			LOG.fault("call-fault", ex, "path", exchange.call().path());
			refuse(exchange, Refusal.mayHaveRun(RefusalReason.INTERNAL, "the entry failed while taking the call"));
		}
	}

	@Override
	public HeadCheck checkHead(HttpCall head) {
		if (!head.path().startsWith(API)) {
			return HeadCheck.UNKNOWN;
		}
		return authenticate(head).fold((refusal) -> HeadCheck.answered(refusal(refusal)),
				(caller) -> HeadCheck.AUTHENTICATED);
	}

	private Either<Refusal, Caller> authenticate(HttpCall call) {
		Optional<Caller> caller = this.tokens.caller(call.headers().get("authorization"));
		if (caller.isEmpty()) {
			return Either
				.left(Refusal.notRun(RefusalReason.UNAUTHENTICATED, "the call carries no token that is known"));
		}
		if (this.refusing) {
			return Either
				.left(Refusal.notRun(RefusalReason.DRAINING, "the entry shuts down").withRetryAfter(COME_BACK));
		}
		return Either.right(caller.get());
	}

	private void route(HttpExchange exchange) {
		HttpCall call = exchange.call();
		String path = call.path();
		if (!path.startsWith(API)) {
			probe(exchange, call);
			return;
		}
		Either<Refusal, Caller> caller = authenticate(call);
		if (caller.isLeft()) {
			refuse(exchange, caller.getLeft());
			return;
		}
		if (path.startsWith(CALLS)) {
			request(exchange, call, caller.get());
			return;
		}
		api(exchange, call, caller.get());
	}

	private void request(HttpExchange exchange, HttpCall call, Caller caller) {
		if (!call.method().equals("POST")) {
			refuse(exchange, Refusal.notRun(RefusalReason.NOT_FOUND, "requests are sent with POST"));
			return;
		}
		if (caller.customer().isEmpty()) {
			refuse(exchange, Refusal.notRun(RefusalReason.FORBIDDEN,
					"a request belongs to a customer and an operator's token names none"));
			return;
		}
		this.routes.request(caller, exchange);
	}

	private void api(HttpExchange exchange, HttpCall call, Caller caller) {
		if (call.body().length > LARGEST_DOCUMENT) {
			refuse(exchange, Refusal.notRun(RefusalReason.TOO_LARGE,
					"the document has " + call.body().length + " bytes, the limit is " + LARGEST_DOCUMENT));
			return;
		}
		try {
			Optional<String> key = KeyText.read(call.headers());
			this.routes.api(new ApiCall(caller, call.method(), call.path(), key, call.body()), exchange);
		}
		catch (DocumentException ex) {
			refuse(exchange, Refusal.notRun(RefusalReason.INVALID, ex.getMessage()));
		}
	}

	private void probe(HttpExchange exchange, HttpCall call) {
		switch (call.method() + " " + call.path().split("\\?", 2)[0]) {
			case "GET /healthz" -> exchange.answer(document(OK, Map.of("alive", true)));
			case "GET /readyz" -> exchange.answer(ready());
			case "GET /metrics" -> exchange.answer(document(OK, this.metrics.read()));
			default -> refuse(exchange, Refusal.notRun(RefusalReason.NOT_FOUND, "there is no such call"));
		}
	}

	private HttpAnswer ready() {
		Optional<String> reason = this.routes.notReady();
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("ready", reason.isEmpty());
		reason.ifPresent((text) -> document.put("reason", text));
		return document(reason.isEmpty() ? OK : UNAVAILABLE, document);
	}

	private void refuse(HttpExchange exchange, Refusal refusal) {
		exchange.answer(refusal(refusal));
	}

	private HttpAnswer refusal(Refusal refusal) {
		this.telemetry.count("refused", refusal.reason());
		return Problem.answer(refusal);
	}

	private static HttpAnswer document(int status, Object document) {
		return new HttpAnswer(status, Map.of("content-type", "application/json"), Json.bytes(document));
	}

	/**
	 * Where calls go. Implementations return at once.
	 */
	public interface Routes {

		/**
		 * A request for a service instance.
		 * @param caller a customer
		 * @param exchange the call and the place for its answer
		 */
		void request(Caller caller, HttpExchange exchange);

		/**
		 * A job or operator call.
		 * @param call the call
		 * @param exchange the place for its answer
		 */
		void api(ApiCall call, HttpExchange exchange);

		/**
		 * Why the entry should get no calls.
		 * @return the reason, or empty while it should
		 */
		Optional<String> notReady();

	}

}
