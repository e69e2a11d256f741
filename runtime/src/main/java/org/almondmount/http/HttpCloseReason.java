package org.almondmount.http;

/**
 * Every reason for which an HTTP server ends a connection on its own; each has a counter.
 */
public enum HttpCloseReason {

	/** The connection count is at its limit. */
	TOO_MANY_CONNECTIONS,

	/** A call was begun and not finished in time. */
	SLOW_CALLER,

	/** No call came in time. */
	IDLE,

	/** The answer was not taken in time. */
	SLOW_READER,

	/** Bytes that are no HTTP. */
	JUNK,

	/** The headers or the body are over their bound. */
	TOO_LARGE,

	/** The drain's deadline passed. */
	DRAIN_DEADLINE

}
