package org.almondmount.http.impl;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Passes received bytes on to the codec in small portions. Placed before the codec so
 * that bytes of incomplete heads are accounted for, bytes after a refusal are discarded
 * undecoded, and the processing time of everything behind it is measured. Confined to the
 * connection's event-loop thread.
 */
final class ReceiveGate extends ChannelDuplexHandler {

	/** Very many short headers fit into a kilobyte, so that heads need small portions. */
	private static final int HEAD_PORTION_BYTES = 256;

	private static final int BODY_PORTION_BYTES = 2_048;

	private final HttpServerConnection connection;

	private final CallAssembler assembler;

	private ChannelHandlerContext context;

	/** Received bytes that have not been passed on yet, null if there are none. */
	private ByteBuf received;

	ReceiveGate(HttpServerConnection connection, CallAssembler assembler) {
		this.connection = connection;
		this.assembler = assembler;
	}

	/**
	 * Passes received bytes on until the connection has to wait for its turn.
	 */
	void passOn() {
		while (this.received != null) {
			long begin = System.nanoTime();
			int portion = this.assembler.isReceivingHead() ? HEAD_PORTION_BYTES : BODY_PORTION_BYTES;
			this.context
				.fireChannelRead(this.received.readRetainedSlice(Math.min(portion, this.received.readableBytes())));
			if (!this.connection.isReceiving() || !this.received.isReadable()) {
				discard();
			}
			long end = System.nanoTime();
			if (this.connection.mustWait(end, end - begin)) {
				return;
			}
		}
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		ByteBuf bytes = (ByteBuf) message;
		if (!this.connection.isReceiving()) {
			bytes.release();
			return;
		}
		this.connection.onBytesReceived();
		if (this.assembler.isReceivingHead() && !this.assembler.tryReserve(bytes.readableBytes())) {
			bytes.release();
			this.connection.refuseForMemory();
			return;
		}
		this.received = bytes;
		passOn();
	}

	// The decoder asks for more bytes whenever it has not completed a message, also while
	// the connection waits for its turn.
	@Override
	public void read(ChannelHandlerContext ctx) {
		if (ctx.channel().config().isAutoRead()) {
			ctx.read();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		discard();
		this.connection.onClosed();
		ctx.fireChannelInactive();
	}

	private void discard() {
		if (this.received != null) {
			this.received.release();
			this.received = null;
		}
	}

}
