package org.almondmount.wire;

/**
 * The reasons for which a connection refuses to send a message. Each has a counter.
 */
public enum SendRefusal {

	/** The connection is closed. */
	CLOSED,

	/** The outstanding bytes are at their limit. */
	BACKLOG,

	/** The message exceeds the frame limit. */
	TOO_LARGE

}
