package org.almondmount.wire.impl;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.almondmount.model.InvalidValueException;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.WireException;

/**
 * The state of one side of the handshake. Not thread-safe.
 * <p>
 * The frames are in order: hello of the dialer, hello of the listener, proof of the
 * dialer, proof of the listener. A proof is an HMAC with the shared key over the prover's
 * side and both hellos. Each hello contains a fresh nonce, which prevents replay of an
 * old proof; the side prevents reflection of a proof to its sender. The listener sends
 * its proof only after it has verified that of the dialer, so a dialer without the key
 * obtains no proof for an offline search of the key.
 */
final class Handshake {

	/** The size of the largest frame before both sides are authenticated. */
	static final int MAX_FRAME_BYTES = 16 << 10;

	/** The lowest protocol version that this side supports. */
	static final int MIN_VERSION = 1;

	/** The highest protocol version that this side supports. */
	static final int MAX_VERSION = 1;

	private static final String MAGIC = "almondmount";

	private static final String PROOF = "proof";

	private static final String REJECT = "reject";

	private static final String MAC_ALGORITHM = "HmacSHA256";

	private static final int NONCE_BYTES = 32;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final boolean dialer;

	private final String sharedKey;

	private final String peerAddress;

	private final byte[] ownHello;

	private byte[] peerHello;

	private PeerInfo peer;

	Handshake(boolean dialer, String sharedKey, PeerInfo self, String peerAddress) {
		this.dialer = dialer;
		this.sharedKey = sharedKey;
		this.peerAddress = peerAddress;
		byte[] nonce = new byte[NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		FrameWriter out = new FrameWriter();
		out.writeArrayHeader(5).writeString(MAGIC).writeLong(MIN_VERSION).writeLong(MAX_VERSION).writeBytes(nonce);
		ValueCodec.writePeerInfo(out, self);
		this.ownHello = out.toBytes();
	}

	static byte[] rejectFrame(CloseReason reason) {
		return new FrameWriter().writeArrayHeader(2).writeString(REJECT).writeEnum(reason).toBytes();
	}

	boolean isDialer() {
		return this.dialer;
	}

	byte[] helloFrame() {
		return this.ownHello;
	}

	boolean hasPeerHello() {
		return this.peerHello != null;
	}

	/**
	 * Reads the hello of the remote side.
	 * @param frame the bytes of the hello
	 */
	void receiveHello(byte[] frame) {
		FrameReader in = new FrameReader(this.peerAddress, frame);
		try {
			in.beginArray();
			checkMagic(in);
			checkVersion(in);
			if (in.readBytes().length != NONCE_BYTES) {
				throw in.malformed("the nonce has the wrong length");
			}
			this.peer = ValueCodec.readPeerInfo(in);
			in.endArray();
			in.expectEnd();
		}
		catch (FrameReader.UnknownConstantException | InvalidValueException ex) {
			throw in.malformed("the peer's description is invalid (" + ex.getMessage() + ")");
		}
		this.peerHello = frame;
	}

	byte[] proofFrame() {
		return new FrameWriter().writeArrayHeader(2).writeString(PROOF).writeBytes(computeMac(this.dialer)).toBytes();
	}

	/**
	 * Verifies the proof of the remote side.
	 * @param frame the bytes of the proof
	 * @return the description of the remote process
	 */
	PeerInfo verifyProof(byte[] frame) {
		FrameReader in = new FrameReader(this.peerAddress, frame);
		in.beginArray();
		String frameType = in.readString();
		if (REJECT.equals(frameType)) {
			throw rejection(in);
		}
		if (!PROOF.equals(frameType)) {
			throw in.malformed("expected a proof frame");
		}
		byte[] proof = in.readBytes();
		in.endArray();
		if (!MessageDigest.isEqual(proof, computeMac(!this.dialer))) {
			throw new WireException(this.peerAddress, CloseReason.WRONG_KEY,
					"the peer does not have the shared key; configure the same key on both sides");
		}
		return this.peer;
	}

	private void checkMagic(FrameReader in) {
		String magic = in.readString();
		if (REJECT.equals(magic)) {
			throw rejection(in);
		}
		if (!MAGIC.equals(magic)) {
			throw in.malformed("expected a hello frame");
		}
	}

	private void checkVersion(FrameReader in) {
		int lowest = in.readInt();
		int highest = in.readInt();
		if (lowest > MAX_VERSION || highest < MIN_VERSION) {
			throw new WireException(this.peerAddress, CloseReason.WRONG_VERSION,
					"the peer supports protocol versions " + lowest + " to " + highest + ", this side " + MIN_VERSION
							+ " to " + MAX_VERSION + "; upgrade the older one");
		}
	}

	private WireException rejection(FrameReader in) {
		try {
			return new WireException(this.peerAddress, in.readEnum(CloseReason.class),
					"the peer rejected the handshake");
		}
		catch (FrameReader.UnknownConstantException ex) {
			return new WireException(this.peerAddress, CloseReason.REMOTE, "the peer rejected the handshake");
		}
	}

	private byte[] computeMac(boolean ofDialer) {
		try {
			Mac mac = Mac.getInstance(MAC_ALGORITHM);
			mac.init(new SecretKeySpec(this.sharedKey.getBytes(StandardCharsets.UTF_8), MAC_ALGORITHM));
			mac.update((byte) (ofDialer ? 1 : 2));
			mac.update(this.dialer ? this.ownHello : this.peerHello);
			mac.update(this.dialer ? this.peerHello : this.ownHello);
			return mac.doFinal();
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("the Java runtime does not provide " + MAC_ALGORITHM, ex);
		}
	}

}
