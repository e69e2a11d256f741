package org.almondmount.services;

/**
 * The reasons for which an operation on the table is retried. Each has a counter.
 */
public enum TableRetryReason {

	/** No connection was available; nothing was sent. */
	NOT_SENT,

	/** The table refused the operation because of its rate limit. */
	RATE,

	/** The table answered that it is unavailable. */
	AWAY,

	/** The answer was lost, late or inconclusive. */
	ANSWER_LOST

}
