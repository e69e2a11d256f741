package org.almondmount.wire;

import org.almondmount.model.AlmondmountException;

/**
 * Thrown when a connection cannot be opened or when received bytes are not a valid
 * message.
 */
public class WireException extends AlmondmountException {

	private final CloseReason reason;

	public WireException(String location, CloseReason reason, String message) {
		super(location, message);
		this.reason = reason;
	}

	/**
	 * Returns the reason for which the connection is closed.
	 * @return the reason under which the close is counted
	 */
	public CloseReason reason() {
		return this.reason;
	}

}
