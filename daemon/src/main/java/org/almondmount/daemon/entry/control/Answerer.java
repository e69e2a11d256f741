package org.almondmount.daemon.entry.control;

import java.time.Duration;
import java.util.Map;

import org.almondmount.daemon.entry.calls.RequestShell;
import org.almondmount.daemon.entry.json.Json;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.Problem;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.telemetry.Telemetry;

/**
 * Makes the answers of job and operator calls and counts refusals. Thread-safe.
 */
final class Answerer {

	/** When a caller is told to come back where nothing better is known. */
	static final Duration COME_BACK = Duration.ofSeconds(2);

	private static final Map<String, String> JSON = Map.of("content-type", "application/json");

	private final Telemetry telemetry;

	Answerer(Telemetry telemetry) {
		this.telemetry = telemetry;
	}

	HttpAnswer document(int status, Object document) {
		return new HttpAnswer(status, JSON, Json.bytes(document));
	}

	HttpAnswer refusal(Refusal refusal) {
		return refusal(refusal, Map.of());
	}

	HttpAnswer refusal(Refusal refusal, Map<String, String> identifiers) {
		this.telemetry.count(RequestShell.REFUSED, refusal.reason());
		return Problem.answer(refusal, identifiers);
	}

	HttpAnswer notRun(RefusalReason reason, String detail) {
		return refusal(Refusal.notRun(reason, detail));
	}

	HttpAnswer comeBack(RefusalReason reason, String detail) {
		return refusal(Refusal.notRun(reason, detail).withRetryAfter(COME_BACK));
	}

}
