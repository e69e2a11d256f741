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
 * One connection: first the handshake, then messages. {@link #send} and {@link #close}
 * are thread-safe; everything else belongs to the connection's event-loop thread.
 */
final class NettyPeerConnection extends SimpleChannelInboundHandler<ByteBuf> implements PeerConnection {

	private static final EventLog LOG = EventLog.of(NettyPeerConnection.class);

	private static final long LATE_TIMER_NANOS = 250_000_000L;

	private final Channel channel;

	private final PeerSettings settings;

	private final PeerListener listener;

	private final WireMetrics metrics;

	private final Handshake handshake;

	private final String from;

	private final CompletableFuture<PeerConnection> ready;

	private final AtomicLong outstanding = new AtomicLong();

	private volatile CloseReason closeReason;

	private volatile PeerInfo peer;

	private volatile boolean open;

	private long lastHeardNanos;

	NettyPeerConnection(Channel channel, String from, Handshake handshake, PeerSettings settings, PeerListener listener,
			WireMetrics metrics, CompletableFuture<PeerConnection> ready) {
		this.channel = channel;
		this.from = from;
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
		if (this.outstanding.addAndGet(frame.length) > this.settings.maxOutstandingBytes()) {
			this.outstanding.addAndGet(-frame.length);
			return refuse(SendRefusal.BACKLOG);
		}
		this.channel.writeAndFlush(framed(frame)).addListener((written) -> this.outstanding.addAndGet(-frame.length));
		this.metrics.sent(frame.length);
		return true;
	}

	@Override
	public void close(CloseReason reason) {
		if (!this.channel.eventLoop().isShuttingDown()) {
			this.channel.eventLoop().execute(() -> end(reason));
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		if (this.handshake.isDialer()) {
			write(this.handshake.hello());
		}
		ctx.executor()
			.schedule(this::handshakeTimedOut, this.settings.handshakeTimeout().toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.closeReason == null) {
			this.closeReason = CloseReason.REMOTE;
		}
		this.metrics.closed(this.closeReason);
		if (this.open) {
			this.open = false;
			this.listener.closed(this, this.closeReason);
			return;
		}
		this.ready.completeExceptionally(
				new WireException(this.from, this.closeReason, "the handshake ended: " + this.closeReason.word()));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (cause instanceof TooLongFrameException) {
			end(CloseReason.FRAME_TOO_LARGE);
		}
		else if (cause instanceof DecoderException) {
			end(CloseReason.BAD_BYTES);
		}
		else {
			end(CloseReason.IO_ERROR);
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
		if (this.closeReason != null) {
			return;
		}
		byte[] frame = ByteBufUtil.getBytes(bytes);
		this.metrics.received(frame.length);
		try {
			if (this.open) {
				takeMessage(frame);
			}
			else {
				takeHandshake(frame);
			}
		}
		catch (WireException ex) {
			refusePeer(ex);
		}
	}

	private void takeMessage(byte[] frame) {
		this.lastHeardNanos = System.nanoTime();
		Message message = MessageCodec.decode(this.peer.name(), frame);
		if (message instanceof Message.Unknown) {
			this.metrics.unknownKind();
		}
		this.listener.received(this, message);
	}

	private void takeHandshake(byte[] frame) {
		if (!this.handshake.hasHello()) {
			this.handshake.takeHello(frame);
			write(this.handshake.isDialer() ? this.handshake.proof() : this.handshake.hello());
			return;
		}
		this.peer = this.handshake.takeProof(frame);
		if (!this.handshake.isDialer()) {
			write(this.handshake.proof());
		}
		this.channel.pipeline().get(FrameDecoder.class).trust();
		this.lastHeardNanos = System.nanoTime();
		this.open = true;
		this.metrics.opened();
		watchSilence(this.settings.heartbeatTimeout().toNanos());
		this.listener.opened(this);
		this.ready.complete(this);
	}

	// The other side is told why only while strangers are sorted out: an operator who
	// mistyped the key reads the reason in both logs.
	private void refusePeer(WireException fault) {
		CloseReason reason = fault.reason();
		if (!this.open) {
			write(Handshake.reject(reason));
		}
		if (reason == CloseReason.WRONG_KEY || reason == CloseReason.WRONG_VERSION) {
			LOG.warn("handshake-refused", "address", this.from, "reason", reason.word(), "why", fault.getMessage());
		}
		end(reason);
	}

	private void handshakeTimedOut() {
		if (!this.open) {
			end(CloseReason.HANDSHAKE_TIMEOUT);
		}
	}

	private void watchSilence(long nanos) {
		long due = System.nanoTime() + nanos;
		this.channel.eventLoop().schedule(() -> lookForSilence(due), nanos, TimeUnit.NANOSECONDS);
	}

	// After a pause of this process the timer comes before the bytes that have arrived
	// meanwhile. They would make a live peer look silent, so a late timer waits once
	// more, which gives the bytes their turn; a peer that is silent is dropped by the
	// next one.
	private void lookForSilence(long due) {
		if (!this.open) {
			return;
		}
		long timeout = this.settings.heartbeatTimeout().toNanos();
		long now = System.nanoTime();
		long silent = now - this.lastHeardNanos;
		if (silent < timeout) {
			watchSilence(timeout - silent);
		}
		else if (now - due > LATE_TIMER_NANOS) {
			watchSilence(LATE_TIMER_NANOS);
		}
		else {
			end(CloseReason.SILENT);
		}
	}

	private void end(CloseReason reason) {
		if (this.closeReason == null) {
			this.closeReason = reason;
			this.channel.close();
		}
	}

	private void write(byte[] frame) {
		this.channel.writeAndFlush(framed(frame));
	}

	private boolean refuse(SendRefusal refusal) {
		this.metrics.refused(refusal);
		return false;
	}

	private static ByteBuf framed(byte[] frame) {
		ByteBuf length = Unpooled.buffer(FrameDecoder.LENGTH_BYTES).writeInt(frame.length);
		return Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(frame));
	}

}
