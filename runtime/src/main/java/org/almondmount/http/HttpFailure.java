package org.almondmount.http;

import org.almondmount.model.AlmondmountException;

/**
 * Thrown when a call did not receive a complete answer.
 */
public class HttpFailure extends AlmondmountException {

	private final boolean mayHaveArrived;

	public HttpFailure(String server, String message, boolean mayHaveArrived) {
		super(server, message);
		this.mayHaveArrived = mayHaveArrived;
	}

	/**
	 * Returns whether the server may have received the call.
	 * @return false if no byte of the call was sent
	 */
	public boolean mayHaveArrived() {
		return this.mayHaveArrived;
	}

}
