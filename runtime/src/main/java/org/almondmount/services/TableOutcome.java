package org.almondmount.services;

/**
 * Outcomes of operations on the table. Each has a counter.
 */
public enum TableOutcome {

	/** A transaction took effect. */
	COMMITTED,

	/** A condition of a transaction did not hold. */
	CONFLICT,

	/** A transaction took no effect and never will. */
	NOT_COMMITTED,

	/** It is not known yet whether a transaction took effect. */
	UNKNOWN,

	/** A read was answered. */
	READ,

	/** A read was not answered. */
	UNREAD,

	/** The rate limiter of this process refused an operation before it was sent. */
	OVER_RATE

}
