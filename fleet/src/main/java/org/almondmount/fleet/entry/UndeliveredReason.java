package org.almondmount.fleet.entry;

/**
 * Why an order of the holder did not leave for its target.
 */
enum UndeliveredReason {

	/** No connection to the target is open; the order is repeated while it is wanted. */
	TARGET_NOT_CONNECTED,

	/** This entry no longer holds the term; the next holder decides anew. */
	TERM_OVER

}
