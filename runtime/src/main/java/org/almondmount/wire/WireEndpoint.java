package org.almondmount.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * Accepts and opens connections between processes. Thread-safe.
 */
public interface WireEndpoint {

	/**
	 * Accepts connections from peers.
	 * @param address the address to bind; port 0 selects a free port
	 * @param self the description of this process for the handshake
	 * @param settings the settings of the connections
	 * @param listener receives the events of each connection after its handshake
	 * @return the bound socket, or the failure to bind
	 */
	CompletableFuture<ListeningSocket> listen(InetSocketAddress address, PeerInfo self, PeerSettings settings,
			PeerListener listener);

	/**
	 * Opens one connection. {@link PeerListener#onConnected} is called before the future
	 * completes.
	 * @param address the address at which the peer listens
	 * @param self the description of this process for the handshake
	 * @param settings the settings of the connection
	 * @param listener receives the events of the connection
	 * @return the connection after its handshake, or {@link WireException}
	 */
	CompletableFuture<PeerConnection> dial(InetSocketAddress address, PeerInfo self, PeerSettings settings,
			PeerListener listener);

	/**
	 * A bound socket that accepts connections from peers.
	 */
	interface ListeningSocket extends AutoCloseable {

		/**
		 * Returns the bound address.
		 * @return the address, with the port that was selected
		 */
		InetSocketAddress address();

		/**
		 * Stops accepting connections; open connections stay open.
		 */
		@Override
		void close();

	}

}
