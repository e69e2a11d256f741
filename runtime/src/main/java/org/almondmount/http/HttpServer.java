package org.almondmount.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A listening HTTP server. Thread-safe.
 */
public interface HttpServer extends AutoCloseable {

	/**
	 * Returns the address on which the server listens.
	 * @return the bound address
	 */
	InetSocketAddress address();

	/**
	 * Returns the number of open connections.
	 * @return the current count
	 */
	int connectionCount();

	/**
	 * Shuts down gracefully. From now on every answer carries {@code connection: close}.
	 * After the linger the server accepts no more connections and closes idle ones; calls
	 * that have been received are still answered.
	 * @param linger the time during which calls on open and new connections are still
	 * accepted, so that calls already in transit are not lost
	 * @param deadline the time after which the remaining connections are closed
	 * @return a future that completes when no connection is left, with true if none had
	 * to be closed at the deadline
	 */
	CompletableFuture<Boolean> drain(Duration linger, Duration deadline);

	/**
	 * Closes the listening socket and all connections immediately.
	 */
	@Override
	void close();

}
