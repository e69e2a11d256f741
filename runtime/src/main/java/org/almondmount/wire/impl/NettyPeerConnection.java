package org.almondmount.wire.impl;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import org.almondmount.telemetry.EventLog;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.PeerSettings;
import org.almondmount.wire.SendRefusal;
import org.almondmount.wire.WireException;

/**
 * The Netty handler of one connection: first the handshake, then messages. {@link #peer},
 * {@link #send} and {@link #close} are thread-safe; all other methods run only on the
 * event-loop thread of the connection.
 */
final class NettyPeerConnection extends SimpleChannelInboundHandler<ByteBuf> implements PeerConnection {

	private static final EventLog LOG = EventLog.of(NettyPeerConnection.class);

	private static final long TIMER_DELAY_TOLERANCE_NANOS = 250_000_000L;

	private final Channel channel;

	private final PeerSettings settings;

	private final PeerListener listener;

	private final WireMetrics metrics;

	private final Handshake handshake;

	private final String peerAddress;

	private final CompletableFuture<PeerConnection> ready;

	private final AtomicLong outstandingBytes = new AtomicLong();

	private volatile CloseReason closeReason;

	private volatile PeerInfo peer;

	private volatile boolean open;

	private long lastReceivedNanos;

	NettyPeerConnection(Channel channel, String peerAddress, Handshake handshake, PeerSettings settings,
			PeerListener listener, WireMetrics metrics, CompletableFuture<PeerConnection> ready) {
		this.channel = channel;
		this.peerAddress = peerAddress;
		this.settings = settings;
		this.listener = listener;
		this.metrics = metrics;
		this.ready = ready;
		this.handshake = handshake;
	}

	@Override
	public PeerInfo peer() {
		return this.peer;
	}

	@Override
	public boolean send(Message message) {
		if (!this.open) {
			return refuse(SendRefusal.CLOSED);
		}
		byte[] frame = MessageCodec.encode(message);
		if (frame.length > this.settings.maxFrameBytes()) {
			return refuse(SendRefusal.TOO_LARGE);
		}
		if (this.outstandingBytes.addAndGet(frame.length) > this.settings.maxOutstandingBytes()) {
			this.outstandingBytes.addAndGet(-frame.length);
			return refuse(SendRefusal.BACKLOG);
		}
		this.channel.writeAndFlush(withLengthPrefix(frame))
			.addListener((written) -> this.outstandingBytes.addAndGet(-frame.length));
		this.metrics.recordSent(frame.length);
		return true;
	}

	@Override
	public void close(CloseReason reason) {
		if (!this.channel.eventLoop().isShuttingDown()) {
			this.channel.eventLoop().execute(() -> closeWith(reason));
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		if (this.handshake.isDialer()) {
			write(this.handshake.helloFrame());
		}
		ctx.executor()
			.schedule(this::onHandshakeTimeout, this.settings.handshakeTimeout().toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.closeReason == null) {
			this.closeReason = CloseReason.REMOTE;
		}
		this.metrics.recordClosed(this.closeReason);
		if (this.open) {
			this.open = false;
			this.listener.onDisconnected(this, this.closeReason);
			return;
		}
		this.ready.completeExceptionally(new WireException(this.peerAddress, this.closeReason,
				"the handshake failed: " + this.closeReason.externalName()));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (cause instanceof TooLongFrameException) {
			closeWith(CloseReason.FRAME_TOO_LARGE);
		}
		else if (cause instanceof DecoderException) {
			closeWith(CloseReason.BAD_BYTES);
		}
		else {
			closeWith(CloseReason.IO_ERROR);
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
		if (this.closeReason != null) {
			return;
		}
		byte[] frame = ByteBufUtil.getBytes(bytes);
		this.metrics.recordReceived(frame.length);
		try {
			if (this.open) {
				handleMessage(frame);
			}
			else {
				handleHandshakeFrame(frame);
			}
		}
		catch (WireException ex) {
			closeOnFailure(ex);
		}
	}

	private void handleMessage(byte[] frame) {
		this.lastReceivedNanos = System.nanoTime();
		Message message = MessageCodec.decode(this.peer.name(), frame);
		if (message instanceof Message.Unknown) {
			this.metrics.recordUnknownKind();
		}
		this.listener.onMessage(this, message);
	}

	private void handleHandshakeFrame(byte[] frame) {
		if (!this.handshake.hasPeerHello()) {
			this.handshake.receiveHello(frame);
			write(this.handshake.isDialer() ? this.handshake.proofFrame() : this.handshake.helloFrame());
			return;
		}
		this.peer = this.handshake.verifyProof(frame);
		if (!this.handshake.isDialer()) {
			write(this.handshake.proofFrame());
		}
		this.channel.pipeline().get(FrameDecoder.class).markTrusted();
		this.lastReceivedNanos = System.nanoTime();
		this.open = true;
		this.metrics.recordOpened();
		scheduleSilenceCheck(this.settings.heartbeatTimeout().toNanos());
		this.listener.onConnected(this);
		this.ready.complete(this);
	}

	// The reason is sent to the peer only during the handshake, so that an operator who
	// mistyped the key finds it in the logs of both sides.
	private void closeOnFailure(WireException failure) {
		CloseReason reason = failure.reason();
		if (!this.open) {
			write(Handshake.rejectFrame(reason));
		}
		if (reason == CloseReason.WRONG_KEY || reason == CloseReason.WRONG_VERSION) {
			LOG.warn("handshake-refused", "address", this.peerAddress, "reason", reason.externalName(), "why",
					failure.getMessage());
		}
		closeWith(reason);
	}

	private void onHandshakeTimeout() {
		if (!this.open) {
			closeWith(CloseReason.HANDSHAKE_TIMEOUT);
		}
	}

	private void scheduleSilenceCheck(long delayNanos) {
		long dueNanos = System.nanoTime() + delayNanos;
		this.channel.eventLoop().schedule(() -> checkSilence(dueNanos), delayNanos, TimeUnit.NANOSECONDS);
	}

	// After a pause of this process the timer runs before the bytes that arrived during
	// the pause are read, so a live peer would appear silent. A timer that runs late is
	// therefore rescheduled, which lets those bytes be read first. A peer that is really
	// silent is disconnected by the next timer.
	private void checkSilence(long dueNanos) {
		if (!this.open) {
			return;
		}
		long timeoutNanos = this.settings.heartbeatTimeout().toNanos();
		long nowNanos = System.nanoTime();
		long silentNanos = nowNanos - this.lastReceivedNanos;
		if (silentNanos < timeoutNanos) {
			scheduleSilenceCheck(timeoutNanos - silentNanos);
		}
		else if (nowNanos - dueNanos > TIMER_DELAY_TOLERANCE_NANOS) {
			scheduleSilenceCheck(TIMER_DELAY_TOLERANCE_NANOS);
		}
		else {
			closeWith(CloseReason.SILENT);
		}
	}

	private void closeWith(CloseReason reason) {
		if (this.closeReason == null) {
			this.closeReason = reason;
			this.channel.close();
		}
	}

	private void write(byte[] frame) {
		this.channel.writeAndFlush(withLengthPrefix(frame));
	}

	private boolean refuse(SendRefusal refusal) {
		this.metrics.recordRefused(refusal);
		return false;
	}

	private static ByteBuf withLengthPrefix(byte[] frame) {
		ByteBuf length = Unpooled.buffer(FrameDecoder.LENGTH_BYTES).writeInt(frame.length);
		return Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(frame));
	}

}
