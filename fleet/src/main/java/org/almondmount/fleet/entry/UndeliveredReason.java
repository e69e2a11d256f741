package org.almondmount.fleet.entry;

/**
 * Why a command of the holder was not sent to its target.
 */
enum UndeliveredReason {

	/**
	 * No connection to the target is open; the command is repeated as long as it is
	 * needed.
	 */
	TARGET_NOT_CONNECTED,

	/** This entry no longer holds the term; the next holder decides again. */
	TERM_OVER

}
