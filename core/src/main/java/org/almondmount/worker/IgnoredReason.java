package org.almondmount.worker;

/**
 * Why a target ignores an order.
 */
public enum IgnoredReason {

	/** A holder of a later epoch was heard. */
	OLD_EPOCH,

	/** The order means another life of the worker. */
	ANOTHER_LIFE

}
