package org.almondmount.http.impl;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpCloseReason;
import org.almondmount.http.Problem;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;

/**
 * A connection of the server. Confined to its event-loop thread.
 */
final class HttpServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

	/**
	 * User event that closes the connection unless a call is being received or processed.
	 */
	static final Object CLOSE_IF_IDLE = new Object();

	private static final int MAX_PIPELINED_CALLS = 16;

	private static final long HALF_CLOSE_MILLIS = 1_000;

	private final NettyHttpServer server;

	private final SocketChannel channel;

	private final Deque<ServerExchange> pendingExchanges = new ArrayDeque<>();

	private boolean callStarted;

	private boolean closing;

	private boolean refused;

	private ScheduledFuture<?> timer;

	HttpServerConnection(NettyHttpServer server, SocketChannel channel) {
		this.server = server;
		this.channel = channel;
	}

	/**
	 * Creates a handler that detects the first bytes of a call before the codec decodes
	 * them, so that the read timeout also covers incomplete calls.
	 * @return the handler to place before the codec
	 */
	ChannelHandler firstBytesHandler() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
				onBytesReceived();
				super.channelRead(ctx, bytes);
			}

		};
	}

	void execute(Runnable action) {
		if (this.channel.eventLoop().inEventLoop()) {
			action.run();
		}
		else {
			this.channel.eventLoop().execute(action);
		}
	}

	void writeReadyAnswers() {
		boolean wrote = false;
		while (!this.pendingExchanges.isEmpty() && this.pendingExchanges.peek().readyAnswer() != null
				&& !this.closing) {
			write(this.pendingExchanges.poll());
			wrote = true;
		}
		if (!wrote) {
			return;
		}
		this.channel.flush();
		if (this.closing) {
			return;
		}
		this.channel.config().setAutoRead(this.pendingExchanges.size() < MAX_PIPELINED_CALLS);
		if (this.pendingExchanges.isEmpty()) {
			startTimer();
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		startTimer();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.closing = true;
		stopTimer();
		while (!this.pendingExchanges.isEmpty()) {
			this.pendingExchanges.poll().onDisconnected();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		if (event == CLOSE_IF_IDLE) {
			if (this.pendingExchanges.isEmpty() && !this.callStarted) {
				ctx.close();
			}
		}
		else if (event == BoundedAggregator.MessageTooLarge.INSTANCE) {
			refuseAndClose(HttpCloseReason.TOO_LARGE, refusal(RefusalReason.TOO_LARGE,
					"the body is over " + this.server.limits().maxBodyBytes() + " bytes"));
		}
		else {
			super.userEventTriggered(ctx, event);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
		if (this.closing || this.refused) {
			return;
		}
		this.callStarted = false;
		stopTimer();
		if (request.decoderResult().isFailure()) {
			refuseUndecodable(request.decoderResult().cause());
			return;
		}
		HttpCall call = new HttpCall(request.method().name(), request.uri(), HeaderMapping.toMap(request.headers()),
				ByteBufUtil.getBytes(request.content()));
		ServerExchange exchange = new ServerExchange(this, call, HttpUtil.isKeepAlive(request));
		this.pendingExchanges.add(exchange);
		if (this.pendingExchanges.size() >= MAX_PIPELINED_CALLS) {
			this.channel.config().setAutoRead(false);
		}
		this.server.handler().handle(exchange);
	}

	private void onBytesReceived() {
		if (!this.callStarted && !this.refused) {
			this.callStarted = true;
			startTimer();
		}
	}

	private void refuseUndecodable(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			refuseAndClose(HttpCloseReason.TOO_LARGE,
					refusal(RefusalReason.TOO_LARGE, "the headers or the path are over their bound"));
			return;
		}
		refuseAndClose(HttpCloseReason.JUNK,
				refusal(RefusalReason.INVALID, "the call is no HTTP/1.1: " + cause.getMessage()));
	}

	private static Refusal refusal(RefusalReason reason, String detail) {
		return Refusal.notRun(reason, detail);
	}

	// Earlier calls on the connection still receive their answers in order. The refusal
	// is queued after them, and everything received after the refused call is discarded.
	private void refuseAndClose(HttpCloseReason reason, Refusal refusal) {
		this.server.countClose(reason);
		this.refused = true;
		ServerExchange exchange = new ServerExchange(this, null, false);
		this.pendingExchanges.add(exchange);
		exchange.answer(Problem.answer(refusal));
	}

	private void write(ServerExchange exchange) {
		boolean keepAlive = exchange.keepAlive() && !this.server.isDraining();
		FullHttpResponse response = toNettyResponse(exchange.readyAnswer());
		response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		if (keepAlive) {
			this.channel.write(response);
			return;
		}
		this.closing = true;
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		boolean isRefusal = exchange.call() == null;
		this.channel.write(response).addListener((written) -> {
			if (isRefusal && written.isSuccess()) {
				halfClose();
			}
			else {
				this.channel.close();
			}
		});
	}

	// Closing the socket while the caller is still sending causes a TCP reset, which can
	// discard the refusal before the caller has read it. Therefore only the output is
	// shut down at first; the socket is closed when the caller closes its side, or after
	// HALF_CLOSE_MILLIS.
	private void halfClose() {
		this.channel.shutdownOutput();
		this.channel.eventLoop().schedule(() -> this.channel.close(), HALF_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static FullHttpResponse toNettyResponse(HttpAnswer answer) {
		ByteBuf body = Unpooled.wrappedBuffer(answer.body());
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(answer.status()), body);
		try {
			HeaderMapping.copy(answer.headers(), response.headers());
			return response;
		}
		catch (IllegalArgumentException ex) {
			Refusal refusal = Refusal.mayHaveRun(RefusalReason.BAD_ANSWER, "a header of the answer is no HTTP");
			return toNettyResponse(Problem.answer(refusal));
		}
	}

	private void startTimer() {
		stopTimer();
		if (!this.pendingExchanges.isEmpty() || this.closing) {
			return;
		}
		if (this.server.isDraining() && !this.server.isLingering() && !this.callStarted) {
			this.channel.close();
			return;
		}
		long millis = this.server.limits().readTimeout().toMillis();
		this.timer = this.channel.eventLoop().schedule(this::onReadTimeout, millis, TimeUnit.MILLISECONDS);
	}

	private void stopTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	private void onReadTimeout() {
		this.server.countClose((this.callStarted) ? HttpCloseReason.SLOW_CALLER : HttpCloseReason.IDLE);
		this.channel.close();
	}

}
