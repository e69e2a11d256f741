package org.almondmount.wire.impl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Map;
import java.util.function.BiConsumer;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes one frame as MessagePack. Not thread-safe.
 */
final class FrameWriter {

	// Most messages are heartbeats and commands of about a hundred bytes. With the
	// library's default buffer of 8 KiB per message, the buffers would make up nearly all
	// of the garbage of a connection. Larger messages allocate further buffers.
	private static final MessagePack.PackerConfig PACKER_CONFIG = MessagePack.DEFAULT_PACKER_CONFIG.withBufferSize(512);

	private final MessageBufferPacker packer = PACKER_CONFIG.newBufferPacker();

	FrameWriter writeArrayHeader(int size) {
		return pack(() -> this.packer.packArrayHeader(size));
	}

	FrameWriter writeLong(long value) {
		return pack(() -> this.packer.packLong(value));
	}

	FrameWriter writeDouble(double value) {
		return pack(() -> this.packer.packDouble(value));
	}

	FrameWriter writeBoolean(boolean value) {
		return pack(() -> this.packer.packBoolean(value));
	}

	FrameWriter writeString(String value) {
		return pack(() -> this.packer.packString(value));
	}

	FrameWriter writeEnum(Enum<?> value) {
		return writeString(value.name());
	}

	FrameWriter writeNil() {
		return pack(this.packer::packNil);
	}

	FrameWriter writeBytes(byte[] value) {
		return pack(() -> {
			this.packer.packBinaryHeader(value.length);
			this.packer.addPayload(value);
		});
	}

	<T> FrameWriter writeList(Collection<T> values, BiConsumer<FrameWriter, T> elementWriter) {
		writeArrayHeader(values.size());
		for (T value : values) {
			elementWriter.accept(this, value);
		}
		return this;
	}

	FrameWriter writeStringMap(Map<String, String> values) {
		pack(() -> this.packer.packMapHeader(values.size()));
		for (Map.Entry<String, String> entry : values.entrySet()) {
			writeString(entry.getKey());
			writeString(entry.getValue());
		}
		return this;
	}

	byte[] toBytes() {
		return this.packer.toByteArray();
	}

	private FrameWriter pack(PackOperation operation) {
		try {
			operation.execute();
			return this;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * A write operation on the packer.
	 */
	@FunctionalInterface
	private interface PackOperation {

		void execute() throws IOException;

	}

}
