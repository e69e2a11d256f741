package org.almondmount.http.impl;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * The connection pool for one server. Confined to the client's event-loop thread.
 */
final class ConnectionPool {

	private static final int MAX_WAITING_CALLS = 4_096;

	// Shorter than the idle timeout of servers, so that a call is rarely sent on a
	// connection that the server is just closing: its outcome would be unknown.
	private static final Duration MAX_IDLE = Duration.ofSeconds(4);

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	/**
	 * The time, in milliseconds, after which the packets of a connection attempt are
	 * presumed lost. TCP retransmits the first packet only after a second. Calls that
	 * arrive later get a connection attempt of their own; otherwise it would take up to
	 * that second to detect that a server is available again.
	 */
	private static final long EXPECTED_CONNECT_MILLIS = 300;

	private final EventLoop loop;

	private final InetSocketAddress server;

	private final int maxConnections;

	private final int maxAnswerBytes;

	private final Deque<Channel> idleConnections = new ArrayDeque<>();

	private final Deque<ClientCall> waitingCalls = new ArrayDeque<>();

	private final Set<Channel> openConnections = new HashSet<>();

	/** The start times of the connection attempts in progress, the oldest first. */
	private final Deque<Long> connectStartNanos = new ArrayDeque<>();

	ConnectionPool(EventLoop loop, InetSocketAddress server, int maxConnections, int maxAnswerBytes) {
		this.loop = loop;
		this.server = server;
		this.maxConnections = maxConnections;
		this.maxAnswerBytes = maxAnswerBytes;
	}

	void submit(ClientCall call, Duration timeout) {
		call.timer(this.loop.schedule(() -> onTimeout(call), timeout.toMillis(), TimeUnit.MILLISECONDS));
		call.answer().whenComplete((answer, failure) -> {
			if (call.answer().isCancelled()) {
				this.loop.execute(call::abandon);
			}
		});
		if (this.waitingCalls.size() >= MAX_WAITING_CALLS) {
			call.fail("too many calls are waiting for a connection; reduce the call rate");
			return;
		}
		this.waitingCalls.add(call);
		dispatch();
	}

	void close() {
		this.waitingCalls.forEach((call) -> call.fail("the client was closed"));
		this.waitingCalls.clear();
		Set.copyOf(this.openConnections).forEach(Channel::close);
	}

	/**
	 * Returns a connection to the pool after its answer was read completely.
	 * @param channel the connection
	 */
	void release(Channel channel) {
		this.idleConnections.push(channel);
		dispatch();
		if (this.idleConnections.contains(channel)) {
			scheduleIdleClose(channel);
		}
	}

	private void onTimeout(ClientCall call) {
		call.fail("no complete answer within the timeout");
		call.abandon();
	}

	private void dispatch() {
		removeCompletedCalls();
		while (!this.waitingCalls.isEmpty()) {
			Channel channel = pollIdleConnection();
			if (channel == null) {
				break;
			}
			send(this.waitingCalls.poll(), channel);
			removeCompletedCalls();
		}
		while (this.waitingCalls.size() > recentConnectAttempts()
				&& this.openConnections.size() + this.connectStartNanos.size() < this.maxConnections) {
			connect();
		}
	}

	private long recentConnectAttempts() {
		long earliestStartNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(EXPECTED_CONNECT_MILLIS);
		return this.connectStartNanos.stream().filter((startNanos) -> startNanos - earliestStartNanos >= 0).count();
	}

	private void removeCompletedCalls() {
		this.waitingCalls.removeIf(ClientCall::isDone);
	}

	private Channel pollIdleConnection() {
		while (!this.idleConnections.isEmpty()) {
			Channel channel = this.idleConnections.pop();
			if (channel.isActive()) {
				return channel;
			}
		}
		return null;
	}

	private void send(ClientCall call, Channel channel) {
		channel.pipeline().get(ClientConnection.class).send(call);
	}

	private void scheduleIdleClose(Channel channel) {
		ClientConnection connection = channel.pipeline().get(ClientConnection.class);
		if (connection == null) {
			return;
		}
		int useCount = connection.useCount();
		this.loop.schedule(() -> {
			if (connection.useCount() == useCount) {
				channel.close();
			}
		}, MAX_IDLE.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void connect() {
		Long startNanos = System.nanoTime();
		this.connectStartNanos.add(startNanos);
		ChannelFuture connected = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ConnectionInitializer())
			.connect(this.server);
		connected.addListener((done) -> {
			this.connectStartNanos.removeFirstOccurrence(startNanos);
			if (done.isSuccess()) {
				onConnected(connected.channel());
			}
			else {
				onConnectFailed(done.cause());
			}
		});
	}

	private void onConnected(Channel channel) {
		this.openConnections.add(channel);
		channel.closeFuture().addListener((closed) -> {
			this.openConnections.remove(channel);
			this.idleConnections.remove(channel);
			dispatch();
		});
		release(channel);
	}

	// A failed connection attempt fails only one call. The next calls get attempts of
	// their own, so no call waits for an unreachable server longer than its own attempt
	// takes.
	private void onConnectFailed(Throwable cause) {
		removeCompletedCalls();
		ClientCall call = this.waitingCalls.poll();
		if (call != null) {
			failUnconnected(call, cause);
		}
		dispatch();
	}

	private static void failUnconnected(ClientCall call, Throwable cause) {
		String reason = "connection failed: " + cause.getMessage();
		// A timeout is a ConnectException too, but a server with a full backlog lives.
		if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
			call.failRefused(reason);
			return;
		}
		call.fail(reason);
	}

	/**
	 * Sets up the pipeline of a connection.
	 */
	private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new HttpClientCodec())
				.addLast(new BoundedAggregator(ConnectionPool.this.maxAnswerBytes))
				.addLast(new ClientConnection(ConnectionPool.this));
		}

	}

}
