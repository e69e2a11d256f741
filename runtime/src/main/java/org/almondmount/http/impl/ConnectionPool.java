package org.almondmount.http.impl;

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
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * The connections to one server. Belongs to the client's thread.
 */
final class ConnectionPool {

	private static final int MOST_WAITING = 4_096;

	// Below the time after which servers close idle connections, so that a call is rarely
	// sent on one that is just being closed: its ending would be unknown.
	private static final Duration LONGEST_IDLE = Duration.ofSeconds(4);

	private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

	/**
	 * An attempt to connect that takes longer was probably lost, in milliseconds: a
	 * network sends its first packet again only after a second. Calls that come later get
	 * an attempt of their own, or a server that is back would go unnoticed for so long.
	 */
	private static final long USUAL_CONNECT_MILLIS = 300;

	private final EventLoop loop;

	private final InetSocketAddress server;

	private final int maxConnections;

	private final int maxAnswerBytes;

	private final Deque<Channel> idle = new ArrayDeque<>();

	private final Deque<ClientCall> waiting = new ArrayDeque<>();

	private final Set<Channel> open = new HashSet<>();

	/** Attempts to connect by the time at which each began, the oldest first. */
	private final Deque<Long> connecting = new ArrayDeque<>();

	ConnectionPool(EventLoop loop, InetSocketAddress server, int maxConnections, int maxAnswerBytes) {
		this.loop = loop;
		this.server = server;
		this.maxConnections = maxConnections;
		this.maxAnswerBytes = maxAnswerBytes;
	}

	void start(ClientCall call, Duration timeout) {
		call.timer(this.loop.schedule(() -> timedOut(call), timeout.toMillis(), TimeUnit.MILLISECONDS));
		call.answer().whenComplete((answer, failure) -> {
			if (call.answer().isCancelled()) {
				this.loop.execute(call::abandon);
			}
		});
		if (this.waiting.size() >= MOST_WAITING) {
			call.fail("too many calls wait for a connection; slow down");
			return;
		}
		this.waiting.add(call);
		next();
	}

	void close() {
		this.waiting.forEach((call) -> call.fail("the client was closed"));
		this.waiting.clear();
		Set.copyOf(this.open).forEach(Channel::close);
	}

	/**
	 * Takes back a connection whose answer was read whole.
	 * @param channel the connection
	 */
	void release(Channel channel) {
		this.idle.push(channel);
		next();
		if (this.idle.contains(channel)) {
			closeWhenIdle(channel);
		}
	}

	private void timedOut(ClientCall call) {
		call.fail("no whole answer in time");
		call.abandon();
	}

	private void next() {
		dropDone();
		while (!this.waiting.isEmpty()) {
			Channel channel = takeIdle();
			if (channel == null) {
				break;
			}
			send(this.waiting.poll(), channel);
			dropDone();
		}
		while (this.waiting.size() > promisingAttempts()
				&& this.open.size() + this.connecting.size() < this.maxConnections) {
			connect();
		}
	}

	private long promisingAttempts() {
		long since = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(USUAL_CONNECT_MILLIS);
		return this.connecting.stream().filter((began) -> began - since >= 0).count();
	}

	private void dropDone() {
		this.waiting.removeIf(ClientCall::isDone);
	}

	private Channel takeIdle() {
		while (!this.idle.isEmpty()) {
			Channel channel = this.idle.pop();
			if (channel.isActive()) {
				return channel;
			}
		}
		return null;
	}

	private void send(ClientCall call, Channel channel) {
		channel.pipeline().get(ClientConnection.class).send(call);
	}

	private void closeWhenIdle(Channel channel) {
		ClientConnection connection = channel.pipeline().get(ClientConnection.class);
		if (connection == null) {
			return;
		}
		int uses = connection.uses();
		this.loop.schedule(() -> {
			if (connection.uses() == uses) {
				channel.close();
			}
		}, LONGEST_IDLE.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void connect() {
		Long began = System.nanoTime();
		this.connecting.add(began);
		ChannelFuture connected = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new Setup())
			.connect(this.server);
		connected.addListener((done) -> {
			this.connecting.removeFirstOccurrence(began);
			if (done.isSuccess()) {
				opened(connected.channel());
			}
			else {
				connectFailed(done.cause());
			}
		});
	}

	private void opened(Channel channel) {
		this.open.add(channel);
		channel.closeFuture().addListener((closed) -> {
			this.open.remove(channel);
			this.idle.remove(channel);
			next();
		});
		release(channel);
	}

	// One failed attempt fails one call: those behind it get an attempt of their own, so
	// none waits for a server that is gone longer than its own attempt takes.
	private void connectFailed(Throwable cause) {
		dropDone();
		ClientCall call = this.waiting.poll();
		if (call != null) {
			call.fail("no connection: " + cause.getMessage());
		}
		next();
	}

	/**
	 * Sets up a connection.
	 */
	private final class Setup extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new HttpClientCodec())
				.addLast(new BoundedAggregator(ConnectionPool.this.maxAnswerBytes))
				.addLast(new ClientConnection(ConnectionPool.this));
		}

	}

}
