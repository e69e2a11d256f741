package org.almondmount.model;

/**
 * How soon a job has to start.
 */
public enum Urgency {

	/**
	 * Starts within seconds inside its customer's guarantee, by preemption if necessary.
	 */
	URGENT,

	/** Starts according to its customer's fair share. */
	NORMAL

}
