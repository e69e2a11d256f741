package org.almondmount.http.impl;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.almondmount.http.HttpAnswer;

/**
 * A connection of the client, which carries at most one call at a time. Confined to the
 * client's event-loop thread.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

	private final ConnectionPool pool;

	private ChannelHandlerContext context;

	private ClientCall current;

	private int useCount;

	ClientConnection(ConnectionPool pool) {
		this.pool = pool;
	}

	int useCount() {
		return this.useCount;
	}

	void send(ClientCall call) {
		this.useCount++;
		this.current = call;
		this.context.writeAndFlush(call.markSent(this.context.channel())).addListener((written) -> {
			if (!written.isSuccess()) {
				this.context.close();
			}
		});
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		failCurrent("the connection was closed before the answer was complete");
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		if (event == BoundedAggregator.MessageTooLarge.INSTANCE) {
			failCurrent("the answer is larger than allowed");
			ctx.close();
			return;
		}
		super.userEventTriggered(ctx, event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		Throwable root = (cause.getCause() != null) ? cause.getCause() : cause;
		failCurrent(String.valueOf(root.getMessage()));
		ctx.close();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
		if (this.current == null) {
			ctx.close();
			return;
		}
		if (response.decoderResult().isFailure()) {
			failCurrent("the answer is not valid HTTP/1.1: " + response.decoderResult().cause().getMessage());
			ctx.close();
			return;
		}
		ClientCall call = this.current;
		this.current = null;
		boolean abandoned = call.isDone();
		call.succeed(new HttpAnswer(response.status().code(), HeaderMapping.toMap(response.headers()),
				ByteBufUtil.getBytes(response.content())));
		if (abandoned || !HttpUtil.isKeepAlive(response)) {
			ctx.close();
			return;
		}
		this.pool.release(ctx.channel());
	}

	private void failCurrent(String reason) {
		if (this.current != null) {
			this.current.fail(reason);
			this.current = null;
		}
	}

}
