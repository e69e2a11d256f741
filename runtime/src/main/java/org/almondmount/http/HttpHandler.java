package org.almondmount.http;

/**
 * Handles incoming calls. Invoked on I/O threads, so implementations must not block: they
 * pass the call on to a ring buffer and return.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Handles a call.
	 * @param exchange the call and the means to answer it
	 */
	void handle(HttpExchange exchange);

	/**
	 * Checks a call whose body is about to be received. A call that is answered here is
	 * not passed to {@link #handle}.
	 * @param head the call without its body
	 * @return what is known about the call
	 */
	default HeadCheck checkHead(HttpCall head) {
		return HeadCheck.UNKNOWN;
	}

}
