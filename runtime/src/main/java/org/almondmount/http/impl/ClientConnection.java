package org.almondmount.http.impl;

import java.util.Optional;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
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

	/** The instance of the server that this connection leads to, empty if unknown. */
	private String instance = "";

	/** Whether the query of the current call's check is outstanding. */
	private boolean checking;

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
		call.assignTo(this.context.channel());
		Optional<PendingCheck> check = call.check().filter((wanted) -> !wanted.instance().equals(this.instance));
		this.checking = check.isPresent();
		write(check.map((wanted) -> wanted.query().get()).orElseGet(call::markSent));
	}

	private void write(FullHttpRequest request) {
		this.context.writeAndFlush(request).addListener((written) -> {
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
		HttpAnswer answer = new HttpAnswer(response.status().code(), HeaderMapping.toMap(response.headers()),
				ByteBufUtil.getBytes(response.content()));
		boolean keepAlive = HttpUtil.isKeepAlive(response);
		if (this.checking && isExpectedInstance(answer) && keepAlive && !this.current.isDone()) {
			this.checking = false;
			write(this.current.markSent());
			return;
		}
		ClientCall call = this.current;
		this.current = null;
		boolean abandoned = call.isDone();
		complete(call, answer);
		if (abandoned || !keepAlive) {
			ctx.close();
			return;
		}
		this.pool.release(ctx.channel());
	}

	private boolean isExpectedInstance(HttpAnswer answer) {
		PendingCheck check = this.current.check().orElseThrow();
		this.instance = check.readInstance(answer);
		return check.instance().equals(this.instance);
	}

	private void complete(ClientCall call, HttpAnswer answer) {
		if (!this.checking) {
			call.succeed(answer);
			return;
		}
		this.checking = false;
		if (call.check().orElseThrow().instance().equals(this.instance)) {
			call.fail("the server closed the connection after the check");
			return;
		}
		call.failOtherInstance(answer);
	}

	private void failCurrent(String reason) {
		if (this.current != null) {
			this.current.fail(reason);
			this.current = null;
		}
	}

}
