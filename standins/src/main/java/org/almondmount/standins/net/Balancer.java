package org.almondmount.standins.net;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.almondmount.net.IoThreads;

/**
 * The platform's balancer: passes each connection to one of a list of addresses in turn,
 * skipping those that refuse. It knows nothing of what it carries. A probing balancer
 * also skips those whose {@code /readyz} does not answer with 200.
 */
public final class Balancer implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private final IoThreads io;

	private final List<InetSocketAddress> addresses;

	private final Predicate<InetSocketAddress> usable;

	private final AtomicInteger turn = new AtomicInteger();

	private Channel listener;

	private Balancer(IoThreads io, List<InetSocketAddress> addresses, Predicate<InetSocketAddress> usable) {
		this.io = io;
		this.addresses = List.copyOf(addresses);
		this.usable = usable;
	}

	/**
	 * Starts a balancer and returns when it is bound.
	 * @param io the process's I/O threads
	 * @param address where to listen; port 0 picks one
	 * @param addresses where connections go
	 * @return the balancer
	 */
	public static Balancer start(IoThreads io, InetSocketAddress address, List<InetSocketAddress> addresses) {
		return start(io, address, new Balancer(io, addresses, (entry) -> true));
	}

	/**
	 * Starts a balancer that probes {@code /readyz} and returns when it is bound.
	 * @param io the process's I/O threads
	 * @param address where to listen; port 0 picks one
	 * @param addresses where connections go
	 * @return the balancer
	 */
	public static Balancer startProbing(IoThreads io, InetSocketAddress address, List<InetSocketAddress> addresses) {
		ReadinessProbe probe = ReadinessProbe.start(io, List.copyOf(addresses));
		return start(io, address, new Balancer(io, addresses, probe::isReady));
	}

	private static Balancer start(IoThreads io, InetSocketAddress address, Balancer balancer) {
		balancer.listener = new ServerBootstrap().group(io.group())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					balancer.connect(channel, balancer.turn.getAndIncrement(), 0);
				}

			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
		return balancer;
	}

	/**
	 * Where it listens.
	 * @return the bound address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	@Override
	public void close() {
		this.listener.close();
	}

	private void connect(Channel caller, int first, int tried) {
		if (tried == this.addresses.size()) {
			caller.close();
			return;
		}
		InetSocketAddress address = this.addresses.get(Math.floorMod(first + tried, this.addresses.size()));
		if (!this.usable.test(address)) {
			connect(caller, first, tried + 1);
			return;
		}
		ChannelFuture connecting = new Bootstrap().group(caller.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInboundHandlerAdapter())
			.connect(address);
		connecting.addListener((done) -> {
			if (done.isSuccess()) {
				join(caller, connecting.channel());
			}
			else {
				connect(caller, first, tried + 1);
			}
		});
	}

	private static void join(Channel one, Channel other) {
		one.pipeline().addLast(new Pipe(other));
		other.pipeline().addLast(new Pipe(one));
		one.read();
		other.read();
	}

	/**
	 * Passes what it reads to the other side, at the pace of the other side.
	 */
	private static final class Pipe extends ChannelInboundHandlerAdapter {

		private final Channel other;

		Pipe(Channel other) {
			this.other = other;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object bytes) {
			this.other.writeAndFlush(bytes).addListener((written) -> {
				if (written.isSuccess()) {
					ctx.channel().read();
				}
				else {
					ctx.close();
				}
			});
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			this.other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			ctx.close();
		}

	}

}
