package org.almondmount.http;

/**
 * Reasons for which the HTTP server closes a connection on its own initiative. Each has a
 * counter.
 */
public enum HttpCloseReason {

	/** The maximum number of open connections was reached. */
	TOO_MANY_CONNECTIONS,

	/** The caller started a call and did not complete it within the read timeout. */
	SLOW_CALLER,

	/** No call arrived within the read timeout. */
	IDLE,

	/** The caller did not read the answer within the write timeout. */
	SLOW_READER,

	/** The received bytes are not valid HTTP. */
	JUNK,

	/** The headers or the body exceed their size limit. */
	TOO_LARGE,

	/** The memory for calls is used up, so the call was refused. */
	OVERLOADED,

	/**
	 * The memory for calls or the connections are used up, and this connection occupied
	 * the most for the longest.
	 */
	EVICTED,

	/** The connection was reset or failed. */
	FAILED,

	/** The connection was still open at the drain deadline. */
	DRAIN_DEADLINE

}
