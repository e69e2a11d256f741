package org.almondmount.wire;

/**
 * One connection to another process after the handshake. Thread-safe.
 */
public interface PeerConnection {

	/**
	 * Describes the remote process.
	 * @return the description that it sent in the handshake
	 */
	PeerInfo peer();

	/**
	 * Queues a message for sending.
	 * @param message the message
	 * @return false if the connection is closed, the message exceeds the frame limit or
	 * the outstanding bytes are at their limit; no part of the message is sent then
	 */
	boolean send(Message message);

	/**
	 * Closes the connection; the listener is notified once.
	 * @param reason the reason for closing
	 */
	void close(CloseReason reason);

}
