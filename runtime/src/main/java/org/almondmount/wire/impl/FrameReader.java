package org.almondmount.wire.impl;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.almondmount.wire.CloseReason;
import org.almondmount.wire.WireException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Reads one frame of MessagePack within limits. Not thread-safe.
 * <p>
 * A length inside a frame is written by the peer: believed, it could ask for gigabytes
 * with five bytes. Each one is held against the bytes that are left in the frame and
 * against a count of elements before anything is allocated, so a frame costs no more
 * memory than a small multiple of its size.
 */
final class FrameReader {

	static final int MAX_DEPTH = 16;

	static final int MAX_ELEMENTS = 1 << 18;

	private final String peer;

	private final byte[] frame;

	private final MessageUnpacker unpacker;

	private final int[] remaining = new int[MAX_DEPTH + 1];

	private int depth;

	private int elementCount;

	/**
	 * Reads a frame.
	 * @param peer the peer, for messages of faults
	 * @param frame the frame without its length
	 */
	FrameReader(String peer, byte[] frame) {
		this.peer = peer;
		this.frame = frame;
		this.unpacker = MessagePack.newDefaultUnpacker(frame);
		this.remaining[0] = 1;
	}

	/**
	 * Enters a list of fields.
	 */
	void beginArray() {
		int size = read(this.unpacker::unpackArrayHeader);
		pushContainer(size);
	}

	/**
	 * Whether the list that was entered has another field; a newer version's fields come
	 * after those of an older one.
	 * @return whether it has
	 */
	boolean hasNext() {
		return this.remaining[this.depth] > 0;
	}

	/**
	 * Leaves a list of fields; what a newer version added to it is skipped.
	 */
	void endArray() {
		while (hasNext()) {
			skipValue();
		}
		this.depth--;
	}

	long readLong() {
		return read(this.unpacker::unpackLong);
	}

	int readInt() {
		return read(this.unpacker::unpackInt);
	}

	double readDouble() {
		return read(this.unpacker::unpackDouble);
	}

	boolean readBoolean() {
		return read(this.unpacker::unpackBoolean);
	}

	String readString() {
		byte[] bytes = read(() -> readPayload(this.unpacker.unpackRawStringHeader()));
		try {
			return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
		}
		catch (CharacterCodingException ex) {
			throw malformed("a text is no UTF-8");
		}
	}

	byte[] readBytes() {
		return read(() -> readPayload(this.unpacker.unpackBinaryHeader()));
	}

	/**
	 * A constant by its name.
	 * @param <E> the enum
	 * @param type its class
	 * @return the constant
	 * @throws UnknownConstantException if this version has none of that name
	 */
	<E extends Enum<E>> E readEnum(Class<E> type) {
		String name = readString();
		for (E constant : type.getEnumConstants()) {
			if (constant.name().equals(name)) {
				return constant;
			}
		}
		throw new UnknownConstantException(type.getSimpleName());
	}

	/**
	 * Whether the next value is nil; if so it is taken.
	 * @return whether it was
	 */
	boolean tryReadNil() {
		return hasNext() && read(this.unpacker::tryUnpackNil, false);
	}

	<T> List<T> readList(Function<FrameReader, T> elementReader) {
		beginArray();
		List<T> values = new ArrayList<>();
		while (hasNext()) {
			values.add(elementReader.apply(this));
		}
		endArray();
		return values;
	}

	Map<String, String> readStringMap() {
		int size = read(this.unpacker::unpackMapHeader);
		pushContainer(2 * size);
		Map<String, String> values = new LinkedHashMap<>();
		while (hasNext()) {
			values.put(readString(), readString());
		}
		endArray();
		return values;
	}

	/**
	 * Skips one value of any kind.
	 */
	void skipValue() {
		ValueType type = peekType();
		if (type == ValueType.ARRAY) {
			beginArray();
			endArray();
		}
		else if (type == ValueType.MAP) {
			int size = read(this.unpacker::unpackMapHeader);
			pushContainer(2 * size);
			endArray();
		}
		else {
			read(() -> {
				this.unpacker.skipValue();
				return true;
			});
		}
	}

	/**
	 * Has to be called last: nothing may follow the message.
	 */
	void expectEnd() {
		if (remainingBytes() > 0) {
			throw malformed("bytes follow the message");
		}
	}

	WireException malformed(String problem) {
		return new WireException(this.peer, CloseReason.BAD_BYTES,
				problem + "; see that the peer is almondmount and of a version that this one can talk to");
	}

	private void pushContainer(int size) {
		if (size < 0 || size > remainingBytes()) {
			throw malformed("a list is said to be longer than the frame");
		}
		this.elementCount += size;
		if (this.elementCount > MAX_ELEMENTS) {
			throw malformed("the frame has more than " + MAX_ELEMENTS + " elements");
		}
		if (this.depth == MAX_DEPTH) {
			throw new WireException(this.peer, CloseReason.TOO_DEEP,
					"lists nest deeper than " + MAX_DEPTH + "; see that the peer is almondmount");
		}
		this.depth++;
		this.remaining[this.depth] = size;
	}

	private byte[] readPayload(int size) throws IOException {
		if (size < 0 || size > remainingBytes()) {
			throw malformed("a value is said to be longer than the frame");
		}
		return this.unpacker.readPayload(size);
	}

	private long remainingBytes() {
		return this.frame.length - this.unpacker.getTotalReadBytes();
	}

	private ValueType peekType() {
		try {
			return this.unpacker.getNextFormat().getValueType();
		}
		catch (IOException | MessagePackException ex) {
			throw malformed("the frame ends too early");
		}
	}

	private <T> T read(ReadOperation<T> operation) {
		return read(operation, true);
	}

	private <T> T read(ReadOperation<T> operation, boolean alwaysConsumes) {
		if (!hasNext()) {
			throw malformed("a field is missing");
		}
		try {
			T value = operation.execute();
			if (alwaysConsumes || Boolean.TRUE.equals(value)) {
				this.remaining[this.depth]--;
			}
			return value;
		}
		catch (IOException | MessagePackException | ArithmeticException ex) {
			throw malformed("a value is not of its kind");
		}
	}

	/**
	 * One step of reading.
	 */
	@FunctionalInterface
	private interface ReadOperation<T> {

		T execute() throws IOException;

	}

	/**
	 * A constant that a newer version has and this one does not.
	 */
	static final class UnknownConstantException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		UnknownConstantException(String type) {
			super("unknown constant of " + type);
		}

	}

}
