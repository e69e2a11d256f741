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
 * Reads one MessagePack frame within limits. Not thread-safe.
 * <p>
 * Lengths inside a frame come from the peer and are not trusted: five bytes could request
 * gigabytes. Each length is checked against the remaining bytes of the frame, and the
 * total number of elements against a limit, before anything is allocated. A frame
 * therefore takes no more memory than a small multiple of its size.
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
	 * Creates a reader for a frame.
	 * @param peer the peer, for error messages
	 * @param frame the frame without its length prefix
	 */
	FrameReader(String peer, byte[] frame) {
		this.peer = peer;
		this.frame = frame;
		this.unpacker = MessagePack.newDefaultUnpacker(frame);
		this.remaining[0] = 1;
	}

	/**
	 * Begins an array of fields.
	 */
	void beginArray() {
		int size = read(this.unpacker::unpackArrayHeader);
		pushContainer(size);
	}

	/**
	 * Whether the current array or map has another value. Fields that a newer version
	 * adds come after those of the older one.
	 * @return true if there is another value
	 */
	boolean hasNext() {
		return this.remaining[this.depth] > 0;
	}

	/**
	 * Ends an array of fields; fields that a newer version added to it are skipped.
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
			throw malformed("a string is not valid UTF-8");
		}
	}

	byte[] readBytes() {
		return read(() -> readPayload(this.unpacker.unpackBinaryHeader()));
	}

	/**
	 * Reads an enum constant by its name.
	 * @param <E> the type of the enum
	 * @param type the class of the enum
	 * @return the constant
	 * @throws UnknownConstantException if this version has no constant of that name
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
	 * Consumes the next value if it is nil.
	 * @return true if it was nil
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
	 * Skips one value of any type.
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
	 * Checks that no bytes follow the message. Must be called last.
	 */
	void expectEnd() {
		if (remainingBytes() > 0) {
			throw malformed("unexpected bytes after the message");
		}
	}

	WireException malformed(String problem) {
		return new WireException(this.peer, CloseReason.BAD_BYTES,
				problem + "; check that the peer is an almondmount process of a compatible version");
	}

	private void pushContainer(int size) {
		if (size < 0 || size > remainingBytes()) {
			throw malformed("the length of an array or map exceeds the frame");
		}
		this.elementCount += size;
		if (this.elementCount > MAX_ELEMENTS) {
			throw malformed("the frame has more than " + MAX_ELEMENTS + " elements");
		}
		if (this.depth == MAX_DEPTH) {
			throw new WireException(this.peer, CloseReason.TOO_DEEP,
					"values are nested deeper than " + MAX_DEPTH + "; check that the peer is an almondmount process");
		}
		this.depth++;
		this.remaining[this.depth] = size;
	}

	private byte[] readPayload(int size) throws IOException {
		if (size < 0 || size > remainingBytes()) {
			throw malformed("the length of a value exceeds the frame");
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
			throw malformed("the frame is truncated");
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
			throw malformed("a value is truncated, out of range or of an unexpected type");
		}
	}

	/**
	 * A read operation on the unpacker.
	 */
	@FunctionalInterface
	private interface ReadOperation<T> {

		T execute() throws IOException;

	}

	/**
	 * Thrown for an enum constant that this version does not have, for instance one that
	 * a newer version added.
	 */
	static final class UnknownConstantException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		UnknownConstantException(String type) {
			super("unknown enum constant of " + type);
		}

	}

}
