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
 * Gathers whole messages up to a bound.
 * <p>
 * A message over the bound is reported as {@link MessageTooLarge}. A response that
 * neither tells its length nor is chunked ends where the connection ends; a cut one would
 * look whole, so it is reported as {@link MissingLengthException}.
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

	// Netty's own refusal of an expectation would overtake the answers to earlier
	// pipelined calls and be taken for one of them. Only the interim "100 Continue" may
	// go out of turn; a call that is too large is refused like any other, in its turn.
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
	 * A message was over the bound.
	 */
	enum MessageTooLarge {

		/** The only one. */
		INSTANCE

	}

	/**
	 * A response's end cannot be told from a cut.
	 */
	static final class MissingLengthException extends Exception {

		private static final long serialVersionUID = 1L;

		MissingLengthException() {
			super("the answer tells no length, so a cut could not be noticed");
		}

	}

}
