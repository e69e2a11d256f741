package org.almondmount.http;

import org.almondmount.model.AlmondmountException;

/**
 * Thrown when a call did not receive a complete answer.
 */
public class HttpFailure extends AlmondmountException {

	private final boolean mayHaveArrived;

	private final boolean connectionRefused;

	public HttpFailure(String server, String message, boolean mayHaveArrived) {
		this(server, message, mayHaveArrived, false);
	}

	private HttpFailure(String server, String message, boolean mayHaveArrived, boolean connectionRefused) {
		super(server, message);
		this.mayHaveArrived = mayHaveArrived;
		this.connectionRefused = connectionRefused;
	}

	/**
	 * Returns a failure of a call whose connection was refused.
	 * @param server the server
	 * @param message the message
	 * @return the failure
	 */
	public static HttpFailure ofRefusedConnection(String server, String message) {
		return new HttpFailure(server, message, false, true);
	}

	/**
	 * Returns whether the server may have received the call.
	 * @return false if no byte of the call was sent
	 */
	public boolean mayHaveArrived() {
		return this.mayHaveArrived;
	}

	/**
	 * Returns whether the connection was refused: nobody listened at the address. A call
	 * that was not sent for another reason, such as a pool without a free connection,
	 * says nothing about the server.
	 * @return true if the connection was refused
	 */
	public boolean connectionRefused() {
		return this.connectionRefused;
	}

}
