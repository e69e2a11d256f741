package org.almondmount.http;

import java.util.function.Supplier;

/**
 * Answers every call alike, whatever its path and body are. Thread-safe.
 */
public final class ProbeHandler implements HttpHandler {

	private final Supplier<HttpAnswer> answer;

	/**
	 * Creates a handler.
	 * @param answer returns the current answer; called on I/O threads
	 */
	public ProbeHandler(Supplier<HttpAnswer> answer) {
		this.answer = answer;
	}

	@Override
	public void handle(HttpExchange exchange) {
		exchange.answer(this.answer.get());
	}

	@Override
	public HeadCheck checkHead(HttpCall head) {
		return HeadCheck.answered(this.answer.get());
	}

}
