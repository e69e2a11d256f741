package org.almondmount.wire;

import java.time.Duration;

/**
 * The settings of connections between processes. Immutable.
 *
 * @param sharedKey the secret of this installation
 * @param heartbeatTimeout time without received data after which a connection is closed
 * @param handshakeTimeout time limit for the handshake
 * @param maxFrameBytes size of the largest frame that is read or written
 * @param maxOutstandingBytes bytes that may be queued for sending on one connection
 */
public record PeerSettings(String sharedKey, Duration heartbeatTimeout, Duration handshakeTimeout, int maxFrameBytes,
		int maxOutstandingBytes) {

	/**
	 * Returns the default settings.
	 * @param sharedKey the secret of this installation
	 * @return the settings
	 */
	public static PeerSettings defaults(String sharedKey) {
		return new PeerSettings(sharedKey, Duration.ofMillis(2_500), Duration.ofSeconds(2), 9 << 20, 32 << 20);
	}

}
