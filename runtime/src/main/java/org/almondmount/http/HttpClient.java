package org.almondmount.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Sends calls and returns complete answers. Thread-safe.
 */
public interface HttpClient extends AutoCloseable {

	/**
	 * Sends a call on a pooled connection. The call is never retried.
	 * @param server the address of the server
	 * @param call the call to send
	 * @param timeout the limit for the whole exchange, including the wait for a
	 * connection
	 * @return a future of the complete answer, completed on an I/O thread; it fails with
	 * an {@link HttpFailure}, which states whether the server may have received the call
	 */
	CompletableFuture<HttpAnswer> send(InetSocketAddress server, HttpCall call, Duration timeout);

	/**
	 * Sends a call to one instance of a server. A connection carries the call only after
	 * it has proved to lead to that instance, so the call never reaches another one that
	 * was started at the same address since.
	 * @param server the address of the server
	 * @param check the check of the connection
	 * @param call the call to send
	 * @param timeout the limit for the whole exchange, including the wait for a
	 * connection and its check
	 * @return as {@link #send}; the future fails with an {@link OtherInstanceFailure} if
	 * another instance answered the check
	 */
	CompletableFuture<HttpAnswer> sendToInstance(InetSocketAddress server, InstanceCheck check, HttpCall call,
			Duration timeout);

	@Override
	void close();

}
