package org.almondmount.daemon.target;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpClient;
import org.almondmount.http.HttpFailure;
import org.almondmount.wire.Message;

/**
 * Passes calls to the service instance. Thread-safe; answers come as signals.
 */
final class InstanceCalls {

	private static final int UNAVAILABLE = 503;

	private static final String NOT_STARTED = "x-not-started";

	/**
	 * An instance that is late still works on the call, and its slot is in use. Waiting
	 * past the deadline, when the caller has long been answered, keeps the count of slots
	 * true for all but instances that hang.
	 */
	private static final Duration GRACE = Duration.ofSeconds(5);

	private final HttpClient http;

	private final InetSocketAddress instance;

	private final Consumer<TargetSignal> signals;

	InstanceCalls(HttpClient http, InetSocketAddress instance, Consumer<TargetSignal> signals) {
		this.http = http;
		this.instance = instance;
		this.signals = signals;
	}

	void run(Message.Call call, long remainingMillis) {
		Map<String, String> headers = new HashMap<>(call.headers());
		headers.put("x-request-id", call.request().value());
		headers.put("x-attempt", Integer.toString(call.attempt()));
		String path = call.path().startsWith("/") ? call.path() : "/" + call.path();
		HttpCall post = new HttpCall("POST", path, headers, call.body());
		Duration timeout = Duration.ofMillis(Math.max(1, remainingMillis)).plus(GRACE);
		this.http.send(this.instance, post, timeout)
			.whenComplete((answer, failure) -> this.signals.accept(signal(call, answer, failure)));
	}

	// An instance that is full says so with this header; without it a 503 may come from
	// work that was begun.
	private static boolean declaredNotStarted(HttpAnswer answer) {
		return answer.status() == UNAVAILABLE && "true".equals(answer.headers().get(NOT_STARTED));
	}

	private static TargetSignal signal(Message.Call call, HttpAnswer answer, Throwable failure) {
		if (failure == null && declaredNotStarted(answer)) {
			return new TargetSignal.InstanceFailed(call.request(), call.attempt(), false,
					"the instance did not start it");
		}
		if (failure == null) {
			return new TargetSignal.InstanceAnswered(call.request(), call.attempt(), answer);
		}
		Throwable cause = Failures.cause(failure);
		boolean mayHaveArrived = !(cause instanceof HttpFailure http) || http.mayHaveArrived();
		return new TargetSignal.InstanceFailed(call.request(), call.attempt(), mayHaveArrived, cause.getMessage());
	}

}
