package org.almondmount.wire.impl;

import java.nio.ByteOrder;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Splits the stream into frames: a length of four bytes, then that many bytes. The limit
 * is low until the peer is authenticated, so that an unauthenticated peer cannot make
 * this process allocate much memory.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

	static final int LENGTH_BYTES = 4;

	private boolean trusted;

	FrameDecoder(int maxFrameBytes) {
		super(maxFrameBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	void markTrusted() {
		this.trusted = true;
	}

	@Override
	protected long getUnadjustedFrameLength(ByteBuf buf, int offset, int length, ByteOrder order) {
		long size = super.getUnadjustedFrameLength(buf, offset, length, order);
		if (!this.trusted && size > Handshake.MAX_FRAME_BYTES) {
			throw new TooLongFrameException(
					"a frame of " + size + " bytes exceeds the limit before the handshake is complete");
		}
		return size;
	}

}
