package org.almondmount.services;

/**
 * How operations on the table ended; each has a counter.
 */
public enum TableOutcome {

	/** A transaction took effect. */
	COMMITTED,

	/** A transaction's condition did not hold. */
	CONFLICT,

	/** A transaction took no effect and never will. */
	NOT_COMMITTED,

	/** Nobody can tell yet whether a transaction took effect. */
	UNKNOWN,

	/** A read was answered. */
	READ,

	/** A read was not answered. */
	UNREAD,

	/** This process's own rate bound refused an operation before it was sent. */
	OVER_RATE

}
