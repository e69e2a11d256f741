package org.almondmount.wire.impl;

import org.almondmount.model.AlmondmountException;
import org.almondmount.model.InvalidValueException;
import org.almondmount.wire.Message;
import org.almondmount.wire.WireException;

/**
 * Encodes messages as frames and decodes frames. A frame is a MessagePack array: the code
 * of the kind, then its fields in order.
 */
final class MessageCodec {

	private MessageCodec() {
	}

	static byte[] encode(Message message) {
		FrameWriter out = new FrameWriter();
		MessageKind.of(message).write(out, message);
		return out.toBytes();
	}

	/**
	 * Decodes a frame.
	 * @param peer the peer, for error messages
	 * @param frame the frame without its length prefix
	 * @return the message; {@link Message.Unknown} for a kind or an enum constant that
	 * this version does not have
	 * @throws WireException if the bytes are not a valid message
	 */
	static Message decode(String peer, byte[] frame) {
		FrameReader in = new FrameReader(peer, frame);
		in.beginArray();
		int code = in.readInt();
		MessageKind kind = MessageKind.of(code);
		if (kind == null) {
			in.endArray();
			in.expectEnd();
			return new Message.Unknown(code);
		}
		try {
			Message message = kind.read(in);
			in.endArray();
			in.expectEnd();
			return message;
		}
		catch (FrameReader.UnknownConstantException ex) {
			return new Message.Unknown(code);
		}
		catch (InvalidValueException ex) {
			throw in.malformed(describeInvalidField(ex));
		}
	}

	private static String describeInvalidField(AlmondmountException ex) {
		return "a field has an invalid value (" + ex.location() + ")";
	}

}
