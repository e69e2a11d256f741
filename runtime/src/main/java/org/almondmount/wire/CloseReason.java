package org.almondmount.wire;

import java.util.Locale;

/**
 * The reasons for closing a connection between processes. Each has a counter.
 */
public enum CloseReason {

	/** The remote side closed the connection. */
	REMOTE,

	/** This side closed the connection on purpose. */
	LOCAL,

	/**
	 * Connection refused: no process listens at the address, for instance because the one
	 * that did has ended.
	 */
	REFUSED,
	/** Nothing was received within the heartbeat timeout. */
	SILENT,

	/** The remote side does not have the shared key. */
	WRONG_KEY,

	/** The two sides have no protocol version in common. */
	WRONG_VERSION,

	/** The handshake was not completed in time. */
	HANDSHAKE_TIMEOUT,

	/** A frame exceeds the size limit. */
	FRAME_TOO_LARGE,

	/** A message exceeds the nesting limit. */
	TOO_DEEP,

	/** The received bytes are not a valid message. */
	BAD_BYTES,

	/** The number of pending handshakes is at its limit. */
	TOO_MANY_HANDSHAKES,

	/** A newer connection of the same process replaced this connection. */
	REPLACED,

	/** An I/O error. */
	IO_ERROR;

	/**
	 * Returns the name of this reason in logs and counters.
	 * @return the lower-case name with hyphens
	 */
	public String externalName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
