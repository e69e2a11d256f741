package org.almondmount.wire;

import java.util.Locale;

/**
 * Every reason for which a connection between processes ends; each has a counter.
 */
public enum CloseReason {

	/** The other side closed it. */
	REMOTE,

	/** This side closed it on purpose. */
	LOCAL,

	/** Nobody listens at the address: the process that did is gone. */
	REFUSED,
	/** Nothing was heard for the heartbeat timeout. */
	SILENT,

	/** The other side does not know the shared key. */
	WRONG_KEY,

	/** The other side speaks no version that this side speaks. */
	WRONG_VERSION,

	/** The handshake did not end in time. */
	HANDSHAKE_TIMEOUT,

	/** A frame is over the limit. */
	FRAME_TOO_LARGE,

	/** A message nests deeper than the limit. */
	TOO_DEEP,

	/** Bytes that are no message. */
	BAD_BYTES,

	/** Too many connections wait for the end of their handshake. */
	TOO_MANY_HANDSHAKES,

	/** A newer connection of the same process took its place. */
	REPLACED,

	/** An input or output error. */
	IO_ERROR;

	/**
	 * The reason as it stands in logs and counters.
	 * @return the word
	 */
	public String externalName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
