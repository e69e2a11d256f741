package org.almondmount.fleet.entry;

/**
 * Why a cancellation is not kept.
 */
enum CancelRefusal {

	/** The store did not take it before the caller's deadline. */
	STORE_SILENT,

	/** Too many unknown jobs are cancelled at this entry. */
	TOO_MANY_UNKNOWN

}
