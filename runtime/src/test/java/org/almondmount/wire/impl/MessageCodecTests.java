package org.almondmount.wire.impl;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.WireException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class MessageCodecTests {

	@ParameterizedTest
	@EnumSource
	void everyKindSurvivesRoundTrip(MessageKind kind) {
		Message message = sample(kind);
		Message read = MessageCodec.decode("peer", MessageCodec.encode(message));
		assertThat(read).usingRecursiveComparison().isEqualTo(message);
	}

	@Test
	void everyMessageTypeHasKindWithUniqueCode() {
		Set<Integer> codes = new HashSet<>();
		for (MessageKind kind : MessageKind.values()) {
			assertThat(codes.add(kind.code())).isTrue();
		}
		assertThat(Message.class.getPermittedSubclasses()).hasSize(codes.size() + 1);
	}

	@Test
	void kindOfNewerVersionIsDecodedAsUnknown() {
		// During a rolling upgrade a newer process sends a kind that this version does
		// not know. This must not close the connection or lose the messages that follow.
		byte[] frame = new FrameWriter().writeArrayHeader(3)
			.writeLong(9_999)
			.writeString("new")
			.writeArrayHeader(1)
			.writeLong(1)
			.toBytes();
		assertThat(MessageCodec.decode("peer", frame)).isEqualTo(new Message.Unknown(9_999));
	}

	@Test
	void fieldsOfANewerVersionAreSkipped() {
		// During a rolling upgrade a newer process adds fields to a message and to a
		// value inside it. The known fields keep their positions, so this version reads
		// those.
		FrameWriter out = new FrameWriter();
		out.writeArrayHeader(5).writeLong(MessageKind.MEMBER_USAGE.code());
		out.writeArrayHeader(3).writeString("job-1").writeLong(3).writeString("new");
		out.writeLong(2);
		out.writeArrayHeader(4).writeLong(1).writeLong(2).writeLong(3).writeLong(4);
		out.writeArrayHeader(2).writeArrayHeader(1).writeNil().writeBytes(new byte[] { 1 });
		assertThat(MessageCodec.decode("peer", out.toBytes())).isEqualTo(MessageSamples.ALL.get(16));
	}

	@Test
	void enumConstantOfNewerVersionMakesTheMessageUnknown() {
		FrameWriter out = new FrameWriter();
		out.writeArrayHeader(4).writeLong(MessageKind.MEMBER_ENDED.code());
		out.writeArrayHeader(2).writeString("job-1").writeLong(3);
		out.writeLong(2).writeString("MERGED");
		assertThat(MessageCodec.decode("peer", out.toBytes()))
			.isEqualTo(new Message.Unknown(MessageKind.MEMBER_ENDED.code()));
	}

	@Test
	void excessiveLengthIsRejectedBeforeAllocation() {
		// Five bytes announce a body of two gigabytes. Allocating it would exhaust the
		// memory of the process, so the length is first checked against that of the
		// frame.
		byte[] frame = { (byte) 0x93, 18, 1, (byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff };
		assertThat(decodeFailure(frame).reason()).isEqualTo(CloseReason.BAD_BYTES);
		byte[] listFrame = { (byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff };
		assertThat(decodeFailure(listFrame).reason()).isEqualTo(CloseReason.BAD_BYTES);
	}

	@Test
	void deepNestingIsRejected() {
		byte[] frame = new byte[500];
		Arrays.fill(frame, (byte) 0x91);
		frame[0] = (byte) 0x92;
		frame[1] = 99;
		assertThat(decodeFailure(frame).reason()).isEqualTo(CloseReason.TOO_DEEP);
	}

	@Test
	void frameTruncatedAtAnyLengthIsBadBytes() {
		byte[] completeFrame = MessageCodec.encode(MessageSamples.ALL.get(4));
		for (int length = 0; length < completeFrame.length; length++) {
			assertThat(decodeFailure(Arrays.copyOf(completeFrame, length)).reason()).isEqualTo(CloseReason.BAD_BYTES);
		}
	}

	@Property(seed = "20261202", tries = 5_000)
	void arbitraryBytesRaiseNothingButWireException(@ForAll @Size(max = 200) byte[] frame) {
		decodeOrExpectWireException(frame);
	}

	@Property(seed = "20261202", tries = 5_000)
	void corruptedMessageRaisesNothingButWireException(@ForAll MessageKind kind,
			@ForAll @IntRange(max = 10_000) int position, @ForAll byte value) {
		byte[] frame = MessageCodec.encode(sample(kind));
		frame[position % frame.length] = value;
		decodeOrExpectWireException(frame);
	}

	private static void decodeOrExpectWireException(byte[] frame) {
		try {
			assertThat(MessageCodec.decode("peer", frame)).isNotNull();
		}
		catch (WireException ex) {
			assertThat(ex.reason()).isIn(CloseReason.BAD_BYTES, CloseReason.TOO_DEEP);
		}
	}

	private static WireException decodeFailure(byte[] frame) {
		return catchThrowableOfType(WireException.class, () -> MessageCodec.decode("peer", frame));
	}

	private static Message sample(MessageKind kind) {
		for (Message message : MessageSamples.ALL) {
			if (MessageKind.of(message) == kind) {
				return message;
			}
		}
		throw new AssertionError("no sample of " + kind);
	}

}
