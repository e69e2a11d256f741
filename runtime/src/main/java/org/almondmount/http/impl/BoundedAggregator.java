package org.almondmount.http.impl;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;

/**
 * Aggregates complete messages up to a size limit.
 * <p>
 * A message over the limit is reported as {@link MessageTooLarge}. A response that has
 * neither a content length nor chunked encoding ends when the connection closes, so a
 * truncated one would look complete; it is reported as {@link MissingLengthException}.
 */
final class BoundedAggregator extends HttpObjectAggregator {

	BoundedAggregator(int maxBytes) {
		super(maxBytes);
	}

	@Override
	protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
		if (start instanceof HttpResponse response && isDelimitedByClose(response)) {
			throw new MissingLengthException();
		}
		return super.beginAggregation(start, content);
	}

	// Netty's own refusal of an expectation would be written before the answers to
	// earlier pipelined calls and be mistaken for one of them. Only the interim "100
	// Continue" may be written out of order; a call that is too large is refused in order
	// like any other.
	@Override
	protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
		Object response = super.newContinueResponse(start, maxContentLength, pipeline);
		if (response instanceof HttpResponse refusal && !refusal.status().equals(HttpResponseStatus.CONTINUE)) {
			ReferenceCountUtil.release(response);
			return null;
		}
		return response;
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
		ctx.fireUserEventTriggered(MessageTooLarge.INSTANCE);
	}

	private static boolean isDelimitedByClose(HttpResponse response) {
		HttpResponseStatus status = response.status();
		boolean hasNoBody = status.code() == HttpResponseStatus.NO_CONTENT.code()
				|| status.code() == HttpResponseStatus.NOT_MODIFIED.code();
		return !hasNoBody && !HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response);
	}

	/**
	 * User event: a message exceeded the size limit.
	 */
	enum MessageTooLarge {

		/** The single instance. */
		INSTANCE

	}

	/**
	 * Thrown when the end of a response could not be distinguished from a truncation.
	 */
	static final class MissingLengthException extends Exception {

		private static final long serialVersionUID = 1L;

		MissingLengthException() {
			super("the answer has no length, so a truncation could not be detected");
		}

	}

}
