package org.almondmount.wire.impl;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.almondmount.net.IoThreads;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.PeerSettings;
import org.almondmount.wire.WireEndpoint;
import org.almondmount.wire.WireException;

/**
 * Accepts and opens connections between processes over TCP, on Netty. Thread-safe.
 */
public final class NettyWireEndpoint implements WireEndpoint {

	private static final int ACCEPT_BACKLOG = 4_096;

	private static final int MAX_PENDING_HANDSHAKES = 4_096;

	private final IoThreads io;

	private final WireMetrics metrics;

	private final AtomicInteger pendingHandshakes = new AtomicInteger();

	public NettyWireEndpoint(IoThreads io, Telemetry telemetry) {
		this.io = io;
		this.metrics = new WireMetrics(telemetry);
	}

	@Override
	public CompletableFuture<ListeningSocket> listen(InetSocketAddress address, PeerInfo self, PeerSettings settings,
			PeerListener listener) {
		CompletableFuture<ListeningSocket> bound = new CompletableFuture<>();
		ChannelFuture binding = new ServerBootstrap().group(this.io.group())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					accept(channel, self, settings, listener);
				}

			})
			.bind(address);
		binding.addListener((done) -> {
			if (done.isSuccess()) {
				bound.complete(new BoundSocket(binding.channel()));
			}
			else {
				bound.completeExceptionally(done.cause());
			}
		});
		return bound;
	}

	@Override
	public CompletableFuture<PeerConnection> dial(InetSocketAddress address, PeerInfo self, PeerSettings settings,
			PeerListener listener) {
		CompletableFuture<PeerConnection> ready = new CompletableFuture<>();
		String peerAddress = String.valueOf(address);
		ChannelFuture connecting = new Bootstrap().group(this.io.group())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) settings.handshakeTimeout().toMillis())
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					Handshake handshake = new Handshake(true, settings.sharedKey(), self, peerAddress);
					initPipeline(channel, peerAddress, handshake, settings, listener, ready);
				}

			})
			.connect(address);
		connecting.addListener((done) -> {
			if (!done.isSuccess()) {
				ready.completeExceptionally(new WireException(peerAddress, closeReasonOf(done.cause()),
						"cannot connect (" + done.cause().getMessage() + "); check that the peer is running"));
			}
		});
		return ready;
	}

	private static CloseReason closeReasonOf(Throwable cause) {
		boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)
				&& String.valueOf(cause.getMessage()).contains("refused");
		return refused ? CloseReason.REFUSED : CloseReason.IO_ERROR;
	}

	// Each unauthenticated peer takes some memory until its handshake ends or times out.
	// Without a limit on pending handshakes, many such peers could exhaust the memory.
	private void accept(SocketChannel channel, PeerInfo self, PeerSettings settings, PeerListener listener) {
		if (this.pendingHandshakes.get() >= MAX_PENDING_HANDSHAKES) {
			this.metrics.recordClosed(CloseReason.TOO_MANY_HANDSHAKES);
			channel.close();
			return;
		}
		this.pendingHandshakes.incrementAndGet();
		CompletableFuture<PeerConnection> ready = new CompletableFuture<>();
		ready.whenComplete((connection, failure) -> this.pendingHandshakes.decrementAndGet());
		String peerAddress = String.valueOf(channel.remoteAddress());
		Handshake handshake = new Handshake(false, settings.sharedKey(), self, peerAddress);
		initPipeline(channel, peerAddress, handshake, settings, listener, ready);
	}

	private void initPipeline(SocketChannel channel, String peerAddress, Handshake handshake, PeerSettings settings,
			PeerListener listener, CompletableFuture<PeerConnection> ready) {
		channel.pipeline()
			.addLast(
					new FlushConsolidationHandler(FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES, true))
			.addLast(new FrameDecoder(settings.maxFrameBytes()))
			.addLast(new NettyPeerConnection(channel, peerAddress, handshake, settings, listener, this.metrics, ready));
	}

	/**
	 * A bound listening socket.
	 */
	private record BoundSocket(Channel channel) implements ListeningSocket {

		@Override
		public InetSocketAddress address() {
			return (InetSocketAddress) this.channel.localAddress();
		}

		@Override
		public void close() {
			this.channel.close();
		}

	}

}
