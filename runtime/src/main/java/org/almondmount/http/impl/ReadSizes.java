package org.almondmount.http.impl;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;

/**
 * Chooses the sizes of reads from a connection, one read at a time, so that connections
 * take turns. Heads are read in smaller buffers, which a connection holds as long as its
 * head is incomplete.
 */
final class ReadSizes extends DefaultMaxMessagesRecvByteBufAllocator {

	private static final int MAX_HEAD_READ_BYTES = 1_024;

	private static final int MAX_BODY_READ_BYTES = 8_192;

	private final CallAssembler assembler;

	ReadSizes(CallAssembler assembler) {
		super(1);
		this.assembler = assembler;
	}

	@Override
	public MaxMessageHandle newHandle() {
		return new MaxMessageHandle() {

			@Override
			public int guess() {
				return ReadSizes.this.assembler.isReceivingHead() ? MAX_HEAD_READ_BYTES : MAX_BODY_READ_BYTES;
			}

		};
	}

}
