package org.almondmount.services;

/**
 * Every reason for which an operation is sent to the table once more; each has a counter.
 */
public enum TableRetryReason {

	/** No connection: nothing was sent. */
	NOT_SENT,

	/** The table refused it for its rate. */
	RATE,

	/** The table said that it is away. */
	AWAY,

	/** The answer was lost or late. */
	ANSWER_LOST

}
