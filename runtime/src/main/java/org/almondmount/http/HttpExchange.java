package org.almondmount.http;

/**
 * One call that waits for its answer. Thread-safe; the first answer counts.
 */
public interface HttpExchange {

	/**
	 * The request.
	 * @return the call, read whole
	 */
	HttpCall call();

	/**
	 * Answers the call. A second answer is ignored.
	 * @param answer the whole answer
	 */
	void answer(HttpAnswer answer);

	/**
	 * Has something done when the caller closes its connection before the answer.
	 * @param action what to do, on an I/O thread
	 */
	void onCallerDisconnected(Runnable action);

}
