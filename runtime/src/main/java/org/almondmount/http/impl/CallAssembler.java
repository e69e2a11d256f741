package org.almondmount.http.impl;

import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.almondmount.http.CallMemory;
import org.almondmount.http.HeadCheck;
import org.almondmount.http.HttpCall;

/**
 * Assembles complete calls from their parts. Confined to the connection's event-loop
 * thread.
 * <p>
 * The body is copied into one array as it arrives: each part would keep the whole buffer
 * that it was read into. Memory is reserved before it is used.
 */
final class CallAssembler extends SimpleChannelInboundHandler<HttpObject> {

	/** Memory of a call besides its headers and body, rounded up. */
	private static final int CALL_OVERHEAD_BYTES = 1_024;

	private static final int INITIAL_BODY_BYTES = 4_096;

	/** Size of a part of a body that takes as long to parse as a header field. */
	private static final int BODY_PART_BYTES = 64;

	private static final byte[] NO_BODY = new byte[0];

	private final HttpServerConnection connection;

	private final CallMemory.Account memory;

	/** The call without its body, null while its headers are being received. */
	private HttpCall head;

	private boolean keepAlive;

	private boolean discarding;

	private byte[] body = NO_BODY;

	private int bodyBytes;

	private int maxBodyBytes;

	private long reservedBytes;

	private long partCount;

	CallAssembler(HttpServerConnection connection, CallMemory.Account memory) {
		this.connection = connection;
		this.memory = memory;
	}

	/**
	 * Reserves memory for the call that is being received.
	 * @param bytes the number of bytes
	 * @return false if there is not enough memory
	 */
	boolean tryReserve(long bytes) {
		if (!this.memory.tryReserve(bytes)) {
			return false;
		}
		this.reservedBytes += bytes;
		return true;
	}

	boolean isReceivingHead() {
		return this.head == null;
	}

	/**
	 * Returns how many parts have been decoded since the last time.
	 * @return the number of header fields and parts of bodies; a complete body counts as
	 * many as the handler has to parse
	 */
	long takePartCount() {
		long count = this.partCount;
		this.partCount = 0;
		return count;
	}

	/**
	 * Reserves memory for a decoded header field.
	 * @param bytes the number of bytes
	 * @return false if there is not enough memory
	 */
	boolean tryReserveField(long bytes) {
		this.partCount++;
		return tryReserve(bytes);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
		if (!this.connection.isReceiving()) {
			return;
		}
		this.partCount++;
		if (part.decoderResult().isFailure()) {
			this.connection.refuseUndecodable(part.decoderResult().cause());
			return;
		}
		if (part instanceof HttpRequest request) {
			begin(ctx, request);
		}
		if (part instanceof HttpContent content && this.connection.isReceiving()) {
			append(content.content());
			if (content instanceof LastHttpContent && this.connection.isReceiving()) {
				end();
			}
		}
	}

	private void begin(ChannelHandlerContext ctx, HttpRequest request) {
		this.head = new HttpCall(request.method().name(), request.uri(), HeaderMapping.toMap(request.headers()),
				NO_BODY);
		this.keepAlive = HttpUtil.isKeepAlive(request);
		this.maxBodyBytes = this.connection.limits().maxBodyBytes();
		if (!tryReserve(CALL_OVERHEAD_BYTES)) {
			this.connection.refuseForMemory();
			return;
		}
		long length = HttpUtil.getContentLength(request, 0L);
		if (length > this.maxBodyBytes) {
			this.connection.refuseTooLarge(this.maxBodyBytes);
			return;
		}
		boolean isChunked = HttpUtil.isTransferEncodingChunked(request);
		if (length == 0 && !isChunked) {
			return;
		}
		HeadCheck check = this.connection.checkHead(this.head);
		if (check.answer().isPresent()) {
			this.discarding = true;
			this.connection.answerEarly(check.answer().get(), this.keepAlive);
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void append(ByteBuf part) {
		int size = part.readableBytes();
		if (size > this.maxBodyBytes - this.bodyBytes) {
			if (this.discarding) {
				this.connection.closeAfterAnswers();
				return;
			}
			this.connection.refuseTooLarge(this.maxBodyBytes);
			return;
		}
		if (!this.discarding) {
			if (!ensureCapacity(this.bodyBytes + size)) {
				this.connection.refuseForMemory();
				return;
			}
			part.readBytes(this.body, this.bodyBytes, size);
		}
		this.bodyBytes += size;
	}

	private boolean ensureCapacity(int required) {
		if (required <= this.body.length) {
			return true;
		}
		int capacity = (int) Math.min(this.maxBodyBytes,
				Math.max(required, Math.max(INITIAL_BODY_BYTES, this.body.length * 2L)));
		if (!tryReserve(capacity - this.body.length)) {
			return false;
		}
		this.body = Arrays.copyOf(this.body, capacity);
		return true;
	}

	private void end() {
		if (this.discarding) {
			abandonCall();
			this.connection.onCallDiscarded();
			return;
		}
		HttpCall call = new HttpCall(this.head.method(), this.head.path(), this.head.headers(),
				Arrays.copyOf(this.body, this.bodyBytes));
		this.partCount += this.bodyBytes / BODY_PART_BYTES;
		long reserved = this.reservedBytes;
		reset();
		this.connection.onCall(call, this.keepAlive, reserved);
	}

	/**
	 * Gives up the call that is being received and releases its memory.
	 */
	void abandonCall() {
		this.memory.release(this.reservedBytes);
		reset();
	}

	private void reset() {
		this.head = null;
		this.body = NO_BODY;
		this.bodyBytes = 0;
		this.discarding = false;
		this.reservedBytes = 0;
	}

}
