package org.almondmount.wire;

/**
 * Receives the events of connections. The methods are called on I/O threads, in order for
 * each connection. Implementations must not block: they enqueue the event and return.
 */
public interface PeerListener {

	/**
	 * Called after a successful handshake.
	 * @param connection the connection
	 */
	void onConnected(PeerConnection connection);

	/**
	 * Called for each message that is received.
	 * @param connection the connection that received the message
	 * @param message the message
	 */
	void onMessage(PeerConnection connection, Message message);

	/**
	 * Called exactly once for each opened connection, when it has been closed.
	 * @param connection the connection
	 * @param reason the reason for closing
	 */
	void onDisconnected(PeerConnection connection, CloseReason reason);

}
