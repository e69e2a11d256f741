package org.almondmount.http.impl;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.almondmount.http.CallMemory;
import org.almondmount.http.HttpCloseReason;
import org.almondmount.http.HttpHandler;
import org.almondmount.http.HttpLimits;
import org.almondmount.http.HttpServer;
import org.almondmount.intake.EvictionPolicy;
import org.almondmount.intake.EvictionPolicy.Candidate;
import org.almondmount.net.IoThreads;
import org.almondmount.telemetry.Telemetry;

/**
 * An HTTP/1.1 server on Netty's codec, with limits on size, time and connections.
 * Thread-safe.
 * <p>
 * Answers are written in the order of the calls of a connection, so that pipelined calls
 * receive the right answers.
 */
public final class NettyHttpServer implements HttpServer {

	/** The name of the counter family for {@link HttpCloseReason}. */
	public static final String CLOSE_COUNTERS = "http.cut";

	private static final int BACKLOG = 1_024;

	private static final int MAX_INITIAL_LINE_BYTES = 8 << 10;

	/** Bytes of unread answers at which calls stop being processed, and go on. */
	private static final WriteBufferWaterMark UNREAD_ANSWERS = new WriteBufferWaterMark(16 << 10, 32 << 10);

	/** Connections that are closed at a time to make room for new ones. */
	private static final int MAX_EVICTIONS = 32;

	private final IoThreads io;

	private final Supplier<HttpLimits> limits;

	private final CallMemory memory;

	private final HttpHandler handler;

	private final Telemetry telemetry;

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

	private final Map<EventLoop, ReadPacer> pacers = new ConcurrentHashMap<>();

	private final AtomicBoolean cleanDrain = new AtomicBoolean(true);

	private volatile boolean draining;

	private volatile boolean lingering;

	private volatile Channel listener;

	private NettyHttpServer(IoThreads io, Supplier<HttpLimits> limits, CallMemory memory, HttpHandler handler,
			Telemetry telemetry) {
		this.io = io;
		this.limits = limits;
		this.memory = memory;
		this.handler = handler;
		this.telemetry = telemetry;
		telemetry.declare(CLOSE_COUNTERS, HttpCloseReason.class);
	}

	/**
	 * Starts a server.
	 * @param io the I/O threads
	 * @param address the address to listen on; with port 0 the system assigns a free port
	 * @param limits the limits of the server
	 * @param handler handles the calls
	 * @param telemetry counts the connections that the server closes
	 * @return a future of the server, completed when its socket is bound; it fails if the
	 * socket can't be bound
	 */
	public static CompletableFuture<HttpServer> start(IoThreads io, InetSocketAddress address, HttpLimits limits,
			HttpHandler handler, Telemetry telemetry) {
		return start(io, address, () -> limits, CallMemory.ofHeap(), handler, telemetry);
	}

	/**
	 * Starts a server whose limits change while it runs.
	 * @param io the I/O threads
	 * @param address the address to listen on; with port 0 the system assigns a free port
	 * @param limits returns the current limits; a new size of headers applies to new
	 * connections, everything else to the next call
	 * @param memory the memory that all servers of the process share
	 * @param handler handles the calls
	 * @param telemetry counts the connections that the server closes
	 * @return a future of the server, completed when its socket is bound; it fails if the
	 * socket can't be bound
	 */
	public static CompletableFuture<HttpServer> start(IoThreads io, InetSocketAddress address,
			Supplier<HttpLimits> limits, CallMemory memory, HttpHandler handler, Telemetry telemetry) {
		return new NettyHttpServer(io, limits, memory, handler, telemetry).bind(address);
	}

	/**
	 * Opens the listening socket before the server is created. Connections that arrive in
	 * the meantime wait in the backlog until the server accepts them.
	 * <p>
	 * A process takes most of a second to start. Without the socket, connections made in
	 * that time are refused, and each refusal uses up one of the caller's few attempts:
	 * 0.8 s after a power loss a caller with a timeout of three seconds had no attempts
	 * left.
	 * @param address the address to listen on
	 * @return the listening socket, for
	 * {@link #start(IoThreads, ServerSocketChannel, Supplier, CallMemory, HttpHandler, Telemetry)}
	 * @throws IOException if the address can't be bound
	 */
	public static ServerSocketChannel openListeningSocket(InetSocketAddress address) throws IOException {
		ServerSocketChannel socket = ServerSocketChannel.open();
		socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
		return socket.bind(address, BACKLOG);
	}

	/**
	 * Starts a server on a socket that is already listening.
	 * @param io the I/O threads
	 * @param socket the listening socket
	 * @param limits returns the current limits
	 * @param memory the memory that all servers of the process share
	 * @param handler handles the calls
	 * @param telemetry counts the connections that the server closes
	 * @return a future of the server, completed when it accepts connections
	 */
	public static CompletableFuture<HttpServer> start(IoThreads io, ServerSocketChannel socket,
			Supplier<HttpLimits> limits, CallMemory memory, HttpHandler handler, Telemetry telemetry) {
		NettyHttpServer server = new NettyHttpServer(io, limits, memory, handler, telemetry);
		return server
			.toServerFuture(server.bootstrap().channelFactory(() -> new NioServerSocketChannel(socket)).register());
	}

	@Override
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	@Override
	public int connectionCount() {
		return this.connections.size();
	}

	@Override
	public CompletableFuture<Boolean> drain(Duration linger, Duration deadline) {
		CompletableFuture<Boolean> done = new CompletableFuture<>();
		this.draining = true;
		this.lingering = true;
		this.io.next().schedule(() -> onLingerEnd(done), linger.toMillis(), TimeUnit.MILLISECONDS);
		this.io.next().schedule(() -> onDrainDeadline(done), deadline.toMillis(), TimeUnit.MILLISECONDS);
		return done;
	}

	@Override
	public void close() {
		this.draining = true;
		this.listener.close();
		this.connections.close();
	}

	boolean isDraining() {
		return this.draining;
	}

	boolean isLingering() {
		return this.lingering;
	}

	HttpLimits limits() {
		return this.limits.get();
	}

	CallMemory memory() {
		return this.memory;
	}

	ReadPacer pacer(EventLoop loop) {
		return this.pacers.computeIfAbsent(loop, (key) -> new ReadPacer(key, this.memory));
	}

	HttpHandler handler() {
		return this.handler;
	}

	void countClose(HttpCloseReason reason) {
		this.telemetry.count(CLOSE_COUNTERS, reason);
	}

	private CompletableFuture<HttpServer> bind(InetSocketAddress address) {
		return toServerFuture(bootstrap().channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.bind(address));
	}

	private ServerBootstrap bootstrap() {
		return new ServerBootstrap().group(this.io.group())
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNREAD_ANSWERS)
			.childHandler(new ConnectionInitializer());
	}

	private CompletableFuture<HttpServer> toServerFuture(ChannelFuture binding) {
		CompletableFuture<HttpServer> bound = new CompletableFuture<>();
		binding.addListener((done) -> {
			if (!done.isSuccess()) {
				bound.completeExceptionally(done.cause());
				return;
			}
			this.listener = binding.channel();
			bound.complete(this);
		});
		return bound;
	}

	private boolean makeRoomForNewcomer() {
		List<Candidate<HttpServerConnection>> candidates = new ArrayList<>();
		for (Channel open : this.connections) {
			HttpServerConnection connection = open.pipeline().get(HttpServerConnection.class);
			if (connection != null) {
				candidates.add(new Candidate<>(connection, connection.load(0)));
			}
		}
		List<HttpServerConnection> victims = EvictionPolicy.selectForNewcomers(candidates, MAX_EVICTIONS);
		victims.forEach(HttpServerConnection::evict);
		return !victims.isEmpty();
	}

	private void onLingerEnd(CompletableFuture<Boolean> done) {
		this.lingering = false;
		this.listener.close();
		for (Channel connection : this.connections) {
			connection.pipeline().fireUserEventTriggered(HttpServerConnection.CLOSE_IF_IDLE);
		}
		this.connections.newCloseFuture().addListener((closed) -> done.complete(this.cleanDrain.get()));
	}

	private void onDrainDeadline(CompletableFuture<Boolean> done) {
		if (done.isDone()) {
			return;
		}
		this.lingering = false;
		this.listener.close();
		for (Channel connection : this.connections) {
			countClose(HttpCloseReason.DRAIN_DEADLINE);
			this.cleanDrain.set(false);
			connection.close();
		}
		this.connections.newCloseFuture().addListener((closed) -> done.complete(this.cleanDrain.get()));
	}

	/**
	 * Enforces the connection limit and sets up the pipeline of an accepted connection.
	 */
	private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			NettyHttpServer server = NettyHttpServer.this;
			HttpLimits limits = server.limits();
			if (server.connections.size() >= limits.maxConnections() && !server.makeRoomForNewcomer()) {
				server.countClose(HttpCloseReason.TOO_MANY_CONNECTIONS);
				channel.close();
				return;
			}
			server.connections.add(channel);
			HttpServerConnection connection = new HttpServerConnection(server, channel);
			CallAssembler assembler = connection.assembler();
			channel.config().setRecvByteBufAllocator(new ReadSizes(assembler));
			HttpHeadersFactory headers = ReservingHeaders.factory(assembler::tryReserveField);
			HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
				.setMaxHeaderSize(limits.maxHeaderBytes())
				.setHeadersFactory(headers)
				.setTrailersFactory(headers);
			channel.pipeline()
				.addLast(new ResponseWriteTimeoutHandler(server, limits.readTimeout()))
				.addLast(connection.gate())
				.addLast(new HttpServerCodec(config))
				.addLast(assembler)
				.addLast(connection);
		}

	}

}
