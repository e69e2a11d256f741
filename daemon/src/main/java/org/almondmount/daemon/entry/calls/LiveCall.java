package org.almondmount.daemon.entry.calls;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.almondmount.http.HttpExchange;
import org.almondmount.model.CustomerId;
import org.almondmount.model.RequestId;
import org.almondmount.wire.Message;

/**
 * One request until its caller is answered. Owned by the requests' duty.
 */
final class LiveCall {

	private final RequestId request;

	private final CallSpec spec;

	private final HttpExchange exchange;

	private final long arrivedMillis;

	private final Map<Integer, Message.CallAnswer> answers = new HashMap<>();

	private final Map<Integer, String> targets = new HashMap<>();

	LiveCall(RequestId request, CallSpec spec, HttpExchange exchange, long arrivedMillis) {
		this.request = request;
		this.spec = spec;
		this.exchange = exchange;
		this.arrivedMillis = arrivedMillis;
	}

	RequestId request() {
		return this.request;
	}

	CallSpec spec() {
		return this.spec;
	}

	CustomerId customer() {
		return this.spec.customer();
	}

	Optional<String> key() {
		return this.spec.key();
	}

	HttpExchange exchange() {
		return this.exchange;
	}

	long arrivedMillis() {
		return this.arrivedMillis;
	}

	void sent(int attempt, String target) {
		this.targets.put(attempt, target);
	}

	String target(int attempt) {
		return this.targets.getOrDefault(attempt, "");
	}

	void answered(Message.CallAnswer answer) {
		this.answers.put(answer.attempt(), answer);
	}

	Message.CallAnswer answer(int attempt) {
		return this.answers.get(attempt);
	}

}
