package org.almondmount.wire;

/**
 * Hears what happens on connections. Called on I/O threads, in order for one connection;
 * implementations only pass on to a ring and return at once.
 */
public interface PeerListener {

	/**
	 * The handshake succeeded.
	 * @param connection the connection
	 */
	void onConnected(PeerConnection connection);

	/**
	 * A message arrived.
	 * @param connection its connection
	 * @param message the message
	 */
	void onMessage(PeerConnection connection, Message message);

	/**
	 * The connection is gone. Told exactly once for each that was opened.
	 * @param connection the connection
	 * @param reason why
	 */
	void onDisconnected(PeerConnection connection, CloseReason reason);

}
