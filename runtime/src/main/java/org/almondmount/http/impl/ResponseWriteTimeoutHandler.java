package org.almondmount.http.impl;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.timeout.WriteTimeoutHandler;
import org.almondmount.http.HttpCloseReason;

/**
 * Closes the connection of a caller that does not read its answer in time.
 */
final class ResponseWriteTimeoutHandler extends WriteTimeoutHandler {

	private final NettyHttpServer server;

	ResponseWriteTimeoutHandler(NettyHttpServer server, Duration timeout) {
		super(timeout.toMillis(), TimeUnit.MILLISECONDS);
		this.server = server;
	}

	@Override
	protected void writeTimedOut(ChannelHandlerContext ctx) {
		this.server.countClose(HttpCloseReason.SLOW_READER);
		ctx.close();
	}

}
