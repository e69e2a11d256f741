package org.almondmount.worker;

/**
 * Why a target ignores an order.
 */
public enum IgnoredReason {

	/** A holder of a later epoch is known. */
	OLD_EPOCH,

	/** The order is for another incarnation of the worker. */
	ANOTHER_LIFE

}
