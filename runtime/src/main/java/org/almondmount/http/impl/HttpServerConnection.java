package org.almondmount.http.impl;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.almondmount.http.CallMemory;
import org.almondmount.http.HeadCheck;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpCloseReason;
import org.almondmount.http.HttpLimits;
import org.almondmount.http.Problem;
import org.almondmount.intake.ConnectionLoad;
import org.almondmount.intake.ProcessingAllowance;
import org.almondmount.intake.TurnDecision;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.telemetry.EventLog;

/**
 * A connection of the server. Confined to its event-loop thread, except for what it
 * occupies.
 * <p>
 * Calls are passed to the handler one after the other as long as the caller reads the
 * answers, so that calls sent ahead cost no more than their bytes.
 */
final class HttpServerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * User event that closes the connection unless a call is being received or processed.
	 */
	static final Object CLOSE_IF_IDLE = new Object();

	private static final EventLog LOG = EventLog.named("HttpServer");

	private static final int MAX_PIPELINED_CALLS = 16;

	/**
	 * Memory of calls in progress from which no further call is read. A caller that sends
	 * large calls ahead gets one at a time.
	 */
	private static final long MAX_PIPELINED_BYTES = 64 << 10;

	/** Memory of an answer besides its body, rounded up. */
	private static final int ANSWER_OVERHEAD_BYTES = 512;

	private static final long HALF_CLOSE_MILLIS = 1_000;

	private static final Duration OVERLOAD_RETRY_AFTER = Duration.ofSeconds(1);

	private final NettyHttpServer server;

	private final SocketChannel channel;

	private final CallMemory.Account memory;

	private final CallAssembler assembler;

	private final ReceiveGate gate;

	private final ReadPacer pacer;

	private final ProcessingAllowance allowance = new ProcessingAllowance();

	/** Calls that have been received and not passed to the handler yet. */
	private final Deque<ServerExchange> receivedExchanges = new ArrayDeque<>();

	/** Calls that have been passed to the handler and not answered yet. */
	private final Deque<ServerExchange> pendingExchanges = new ArrayDeque<>();

	private boolean callStarted;

	/** When the current call began, or the connection became idle. */
	private long waitingSinceNanos;

	private boolean closing;

	private boolean refused;

	private boolean waitsForTurn;

	private boolean dispatching;

	private ScheduledFuture<?> timer;

	private volatile boolean authenticated;

	private volatile int pendingCount;

	private volatile long progressNanos = System.nanoTime();

	HttpServerConnection(NettyHttpServer server, SocketChannel channel) {
		this.server = server;
		this.channel = channel;
		this.pacer = server.pacer(channel.eventLoop());
		this.memory = server.memory().open(this::load, this::evict);
		this.assembler = new CallAssembler(this, this.memory);
		this.gate = new ReceiveGate(this, this.assembler);
	}

	CallAssembler assembler() {
		return this.assembler;
	}

	ReceiveGate gate() {
		return this.gate;
	}

	HttpLimits limits() {
		return this.server.limits();
	}

	/**
	 * Returns what the connection occupies. Thread-safe.
	 * @param heldBytes the memory of its calls and answers
	 * @return what the connection occupies
	 */
	ConnectionLoad load(long heldBytes) {
		long stalledMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.progressNanos);
		return new ConnectionLoad(this.authenticated, this.pendingCount > 0, heldBytes, stalledMillis);
	}

	/**
	 * Closes the connection in favour of others. Thread-safe.
	 */
	void evict() {
		this.server.countClose(HttpCloseReason.EVICTED);
		this.channel.close();
	}

	/**
	 * Returns whether calls are still received.
	 * @return false after a refusal that ends the connection
	 */
	boolean isReceiving() {
		return !this.refused && !this.closing;
	}

	void execute(Runnable action) {
		if (this.channel.eventLoop().inEventLoop()) {
			action.run();
		}
		else {
			this.channel.eventLoop().execute(action);
		}
	}

	void onBytesReceived() {
		if (!this.callStarted) {
			this.callStarted = true;
			this.waitingSinceNanos = System.nanoTime();
		}
	}

	/**
	 * Charges the work that a portion of received bytes has caused. A connection that has
	 * used up its allowance goes on when it is its turn.
	 * @param nowNanos the time of the steady clock
	 * @param portionNanos the processing time of the portion
	 * @return whether the connection waits for its turn
	 */
	boolean mustWait(long nowNanos, long portionNanos) {
		boolean isUsedUp = this.allowance.charge(nowNanos, 1 + this.assembler.takePartCount());
		if (isUsedUp && !this.waitsForTurn && this.channel.isActive()) {
			this.waitsForTurn = true;
			this.pacer.enqueue(this, portionNanos);
			updateReading();
		}
		return this.waitsForTurn;
	}

	void takeTurn(TurnDecision decision) {
		this.waitsForTurn = false;
		if (decision == TurnDecision.REFUSE && isReceiving()) {
			refuseForMemory();
		}
		this.gate.passOn();
		updateReading();
	}

	long heldBytes() {
		return this.memory.heldBytes();
	}

	long usedParts() {
		return this.allowance.usedParts();
	}

	HeadCheck checkHead(HttpCall head) {
		HeadCheck check = this.server.handler().checkHead(head);
		this.authenticated = check.authenticated();
		return check;
	}

	/**
	 * Takes a complete call.
	 * @param call the call
	 * @param keepAlive whether the connection stays open after the answer
	 * @param reservedBytes the memory reserved for the call
	 */
	void onCall(HttpCall call, boolean keepAlive, long reservedBytes) {
		onCallEnded();
		this.receivedExchanges.add(new ServerExchange(this, call, keepAlive, reservedBytes));
		dispatch();
	}

	/**
	 * Takes note of the end of a call that was answered before its body arrived.
	 */
	void onCallDiscarded() {
		onCallEnded();
	}

	/**
	 * Answers a call whose body has not been received.
	 * @param answer the answer
	 * @param keepAlive whether the connection stays open after the answer
	 */
	void answerEarly(HttpAnswer answer, boolean keepAlive) {
		this.receivedExchanges.add(ServerExchange.answered(this, answer, keepAlive));
		dispatch();
	}

	/**
	 * Closes the connection once the calls that were received are answered.
	 */
	void closeAfterAnswers() {
		this.server.countClose(HttpCloseReason.TOO_LARGE);
		stopReceiving();
		if (hasNoCalls()) {
			halfClose();
		}
	}

	void refuseTooLarge(int maxBodyBytes) {
		refuseAndClose(HttpCloseReason.TOO_LARGE,
				Refusal.notRun(RefusalReason.TOO_LARGE, "the body is over " + maxBodyBytes + " bytes"));
	}

	void refuseForMemory() {
		refuseAndClose(HttpCloseReason.OVERLOADED,
				Refusal.notRun(RefusalReason.OVERLOADED, "the memory for calls is used up")
					.withRetryAfter(OVERLOAD_RETRY_AFTER));
	}

	void refuseUndecodable(Throwable cause) {
		if (cause instanceof ReservingHeaders.MemoryExceededException) {
			refuseForMemory();
			return;
		}
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			refuseAndClose(HttpCloseReason.TOO_LARGE,
					Refusal.notRun(RefusalReason.TOO_LARGE, "the headers or the path are over their bound"));
			return;
		}
		refuseAndClose(HttpCloseReason.JUNK,
				Refusal.notRun(RefusalReason.INVALID, "the call is no HTTP/1.1: " + cause.getMessage()));
	}

	void writeReadyAnswers() {
		boolean wrote = false;
		while (!this.pendingExchanges.isEmpty() && this.pendingExchanges.peek().readyAnswer() != null
				&& !this.closing) {
			write(this.pendingExchanges.poll());
			wrote = true;
		}
		this.pendingCount = this.pendingExchanges.size();
		if (!wrote) {
			return;
		}
		this.channel.flush();
		if (this.closing) {
			return;
		}
		dispatch();
		if (!hasNoCalls()) {
			return;
		}
		if (this.refused) {
			halfClose();
		}
		else if (!this.callStarted) {
			onIdle();
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		onIdle();
		checkReadTimeout();
	}

	/**
	 * Takes note of the end of the connection, before the codec gives up what it was
	 * decoding.
	 */
	void onClosed() {
		this.closing = true;
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		this.pacer.remove(this);
		this.receivedExchanges.clear();
		while (!this.pendingExchanges.isEmpty()) {
			this.pendingExchanges.poll().onDisconnected();
		}
		this.memory.close();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		dispatch();
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		if (event != CLOSE_IF_IDLE) {
			super.userEventTriggered(ctx, event);
		}
		else if (hasNoCalls() && !this.callStarted) {
			ctx.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		this.server.countClose(HttpCloseReason.FAILED);
		if (!(cause instanceof IOException)) {
			LOG.fault("connection-fault", cause);
		}
		ctx.close();
	}

	// Answers may be written while the handler runs, which dispatches the next call. The
	// flag keeps that from nesting once for each call.
	private void dispatch() {
		if (this.dispatching) {
			return;
		}
		this.dispatching = true;
		try {
			while (mayDispatch()) {
				dispatchNext();
			}
		}
		finally {
			this.dispatching = false;
		}
		updateReading();
	}

	private boolean mayDispatch() {
		return !this.closing && !this.receivedExchanges.isEmpty() && this.pendingExchanges.size() < MAX_PIPELINED_CALLS
				&& this.channel.isWritable();
	}

	private void dispatchNext() {
		ServerExchange exchange = this.receivedExchanges.poll();
		this.pendingExchanges.add(exchange);
		this.pendingCount = this.pendingExchanges.size();
		if (exchange.call() == null) {
			writeReadyAnswers();
			return;
		}
		this.server.handler().handle(exchange);
	}

	private void updateReading() {
		boolean mayPipeline = this.pendingExchanges.isEmpty()
				|| (this.pendingExchanges.size() < MAX_PIPELINED_CALLS && pendingBytes() < MAX_PIPELINED_BYTES);
		this.channel.config()
			.setAutoRead(
					!this.waitsForTurn && this.receivedExchanges.isEmpty() && mayPipeline && this.channel.isWritable());
	}

	private long pendingBytes() {
		return this.pendingExchanges.stream().mapToLong(ServerExchange::reservedBytes).sum();
	}

	private void onCallEnded() {
		this.callStarted = false;
		this.progressNanos = System.nanoTime();
		this.waitingSinceNanos = this.progressNanos;
	}

	private void onIdle() {
		this.waitingSinceNanos = System.nanoTime();
		if (this.server.isDraining() && !this.server.isLingering()) {
			this.channel.close();
		}
	}

	private boolean hasNoCalls() {
		return this.pendingExchanges.isEmpty() && this.receivedExchanges.isEmpty();
	}

	// Earlier calls on the connection still receive their answers in order. The refusal
	// is queued after them, and everything received after the refused call is discarded.
	private void refuseAndClose(HttpCloseReason reason, Refusal refusal) {
		this.server.countClose(reason);
		stopReceiving();
		this.receivedExchanges.add(ServerExchange.answered(this, Problem.answer(refusal), false));
		dispatch();
	}

	private void stopReceiving() {
		this.refused = true;
		this.assembler.abandonCall();
	}

	private void write(ServerExchange exchange) {
		boolean keepAlive = exchange.keepAlive() && !this.server.isDraining();
		FullHttpResponse response = toNettyResponse(exchange.readyAnswer());
		response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		long answerBytes = ANSWER_OVERHEAD_BYTES + response.content().readableBytes();
		this.memory.release(exchange.reservedBytes());
		this.memory.reserve(answerBytes);
		if (keepAlive) {
			this.channel.write(response).addListener((written) -> onWritten(answerBytes));
			return;
		}
		this.closing = true;
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		boolean isRefusal = exchange.call() == null;
		this.channel.write(response).addListener((written) -> {
			onWritten(answerBytes);
			if (isRefusal && written.isSuccess()) {
				halfClose();
			}
			else {
				this.channel.close();
			}
		});
	}

	private void onWritten(long answerBytes) {
		this.memory.release(answerBytes);
		this.progressNanos = System.nanoTime();
	}

	// Closing the socket while the caller is still sending causes a TCP reset, which can
	// discard the refusal before the caller has read it. Therefore only the output is
	// shut down at first; the socket is closed when the caller closes its side, or after
	// HALF_CLOSE_MILLIS.
	private void halfClose() {
		this.closing = true;
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

	// A single timer covers the whole call and idle connections alike. It is not reset by
	// each byte, so that a byte now and then does not keep a connection open.
	private void checkReadTimeout() {
		if (this.closing) {
			return;
		}
		long timeoutNanos = this.server.limits().readTimeout().toNanos();
		long remainingNanos = hasNoCalls() ? this.waitingSinceNanos + timeoutNanos - System.nanoTime() : timeoutNanos;
		if (remainingNanos <= 0) {
			this.server.countClose((this.callStarted) ? HttpCloseReason.SLOW_CALLER : HttpCloseReason.IDLE);
			this.channel.close();
			return;
		}
		this.timer = this.channel.eventLoop().schedule(this::checkReadTimeout, remainingNanos, TimeUnit.NANOSECONDS);
	}

}
