package org.almondmount.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A listening HTTP server. Thread-safe.
 */
public interface HttpServer extends AutoCloseable {

	/**
	 * Where it listens.
	 * @return the bound address
	 */
	InetSocketAddress address();

	/**
	 * Open connections now.
	 * @return a count
	 */
	int connectionCount();

	/**
	 * Ends gracefully: every answer from now on carries {@code connection: close}; after
	 * the linger it accepts nothing more and closes idle connections; calls that have
	 * arrived are answered.
	 * @param linger time during which calls on open and new connections are still taken,
	 * so that none is cut that was on its way
	 * @param deadline time after which what is left is cut
	 * @return completes when no connection is left; true when nothing had to be cut
	 */
	CompletableFuture<Boolean> drain(Duration linger, Duration deadline);

	/**
	 * Closes everything at once.
	 */
	@Override
	void close();

}
