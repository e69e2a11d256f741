package org.almondmount.http.impl;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpClient;
import org.almondmount.http.HttpFailure;
import org.almondmount.http.InstanceCheck;
import org.almondmount.net.IoThreads;

/**
 * An HTTP/1.1 client with a small connection pool for each server. Thread-safe; the pools
 * are confined to one event-loop thread.
 */
public final class NettyHttpClient implements HttpClient {

	private final EventLoop loop;

	private final int maxPerServer;

	private final int maxAnswerBytes;

	private final Map<InetSocketAddress, ConnectionPool> pools = new HashMap<>();

	private volatile boolean closed;

	/**
	 * Creates a client.
	 * @param io the I/O threads, of which the client uses one
	 * @param maxPerServer the maximum number of connections to a server; further calls
	 * wait for a free connection
	 * @param maxAnswerBytes the maximum size of the body of an answer
	 */
	public NettyHttpClient(IoThreads io, int maxPerServer, int maxAnswerBytes) {
		this.loop = io.next();
		this.maxPerServer = maxPerServer;
		this.maxAnswerBytes = maxAnswerBytes;
	}

	/**
	 * Sends a call. Cancelling the returned future abandons the call and closes its
	 * connection.
	 */
	@Override
	public CompletableFuture<HttpAnswer> send(InetSocketAddress server, HttpCall call, Duration timeout) {
		return send(server, Optional.empty(), call, timeout);
	}

	@Override
	public CompletableFuture<HttpAnswer> sendToInstance(InetSocketAddress server, InstanceCheck check, HttpCall call,
			Duration timeout) {
		return send(server, Optional.of(check), call, timeout);
	}

	private CompletableFuture<HttpAnswer> send(InetSocketAddress server, Optional<InstanceCheck> check, HttpCall call,
			Duration timeout) {
		String hostAndPort = NetUtil.toSocketAddressString(server);
		CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
		if (this.closed) {
			answer.completeExceptionally(new HttpFailure(hostAndPort, "the client is closed", false));
			return answer;
		}
		ClientCall pending;
		try {
			pending = new ClientCall(hostAndPort, toNettyRequest(hostAndPort, call), check
				.map((wanted) -> new PendingCheck(wanted, () -> toNettyRequest(hostAndPort, wanted.query().get()))),
					answer);
		}
		catch (IllegalArgumentException ex) {
			answer.completeExceptionally(
					new HttpFailure(hostAndPort, "the call is not valid HTTP: " + ex.getMessage(), false));
			return answer;
		}
		try {
			this.loop.execute(() -> pool(server).submit(pending, timeout));
		}
		catch (RejectedExecutionException ex) {
			pending.fail("the process is shutting down");
		}
		return answer;
	}

	@Override
	public void close() {
		this.closed = true;
		if (!this.loop.isShuttingDown()) {
			this.loop.execute(() -> this.pools.values().forEach(ConnectionPool::close));
		}
	}

	private ConnectionPool pool(InetSocketAddress server) {
		return this.pools.computeIfAbsent(server,
				(address) -> new ConnectionPool(this.loop, address, this.maxPerServer, this.maxAnswerBytes));
	}

	private static FullHttpRequest toNettyRequest(String hostAndPort, HttpCall call) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()),
				call.path(), Unpooled.wrappedBuffer(call.body()));
		HeaderMapping.copy(call.headers(), request.headers());
		request.headers().set(HttpHeaderNames.HOST, hostAndPort);
		request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		return request;
	}

}
