package org.almondmount.http.impl;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Passes received bytes on to the codec. Placed before the codec so that bytes of
 * incomplete heads are accounted for and bytes after a refusal are discarded undecoded.
 * Confined to the connection's event-loop thread.
 */
final class ReceiveGate extends ChannelInboundHandlerAdapter {

	private final HttpServerConnection connection;

	private final CallAssembler assembler;

	ReceiveGate(HttpServerConnection connection, CallAssembler assembler) {
		this.connection = connection;
		this.assembler = assembler;
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
		ctx.fireChannelRead(bytes);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.connection.onClosed();
		ctx.fireChannelInactive();
	}

}
