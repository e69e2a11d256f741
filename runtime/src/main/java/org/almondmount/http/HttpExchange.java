package org.almondmount.http;

/**
 * A call together with the means to answer it. Thread-safe; only the first answer is
 * sent.
 */
public interface HttpExchange {

	/**
	 * Returns the call.
	 * @return the complete call
	 */
	HttpCall call();

	/**
	 * Answers the call. A second answer is ignored.
	 * @param answer the complete answer
	 */
	void answer(HttpAnswer answer);

	/**
	 * Registers an action that runs if the caller disconnects before the call is
	 * answered.
	 * @param action the action, run on an I/O thread
	 */
	void onCallerDisconnected(Runnable action);

}
