package org.almondmount.model;

/**
 * Whether an availability zone is in service, as declared by operators.
 */
public enum ZoneState {

	/** Work may start in the zone. */
	IN,

	/** No work may start in the zone, and running work is moved or stopped. */
	OUT;

	/**
	 * Whether a task or a request may start in a zone of this state.
	 * @return true if it may start
	 */
	public boolean acceptsWork() {
		return this == IN;
	}

}
