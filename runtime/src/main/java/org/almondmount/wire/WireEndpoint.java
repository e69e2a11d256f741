package org.almondmount.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

/**
 * Opens connections between processes. Thread-safe.
 */
public interface WireEndpoint {

	/**
	 * Accepts connections from peers.
	 * @param address where to listen; port 0 picks one
	 * @param self what this process tells of itself
	 * @param settings how the connections behave
	 * @param listener hears of each connection once its handshake is done
	 * @return the bound place, or the failure to bind
	 */
	CompletableFuture<ListeningSocket> listen(InetSocketAddress address, PeerInfo self, PeerSettings settings,
			PeerListener listener);

	/**
	 * Opens one connection. The listener hears {@link PeerListener#onConnected} before
	 * the future completes.
	 * @param address where the peer listens
	 * @param self what this process tells of itself
	 * @param settings how the connection behaves
	 * @param listener hears of the connection
	 * @return the connection after its handshake, or {@link WireException}
	 */
	CompletableFuture<PeerConnection> dial(InetSocketAddress address, PeerInfo self, PeerSettings settings,
			PeerListener listener);

	/**
	 * A place where peers are accepted.
	 */
	interface ListeningSocket extends AutoCloseable {

		/**
		 * Where it listens.
		 * @return the bound address
		 */
		InetSocketAddress address();

		/**
		 * Accepts no more; connections that are open stay open.
		 */
		@Override
		void close();

	}

}
