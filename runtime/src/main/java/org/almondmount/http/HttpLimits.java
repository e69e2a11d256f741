package org.almondmount.http;

import java.time.Duration;

/**
 * The limits of an HTTP server. Immutable.
 *
 * @param maxHeaderBytes the maximum total size of the headers of a call
 * @param maxBodyBytes the maximum size of a body
 * @param maxConnections the maximum number of open connections
 * @param readTimeout the time within which a caller has to complete a call that it
 * started and has to read its answer, and the time after which an idle connection is
 * closed
 */
public record HttpLimits(int maxHeaderBytes, int maxBodyBytes, int maxConnections, Duration readTimeout) {

	/** The limits that apply by default. */
	public static final HttpLimits DEFAULT = new HttpLimits(16 << 10, 8 << 20, 4_096, Duration.ofSeconds(10));

	/**
	 * Returns these limits with other sizes of calls.
	 * @param headerBytes the maximum total size of the headers of a call
	 * @param bodyBytes the maximum size of a body
	 * @return the changed limits
	 */
	public HttpLimits withCallSizes(int headerBytes, int bodyBytes) {
		return new HttpLimits(headerBytes, bodyBytes, this.maxConnections, this.readTimeout);
	}

	/**
	 * Returns these limits with another number of connections.
	 * @param connections the maximum number of open connections
	 * @return the changed limits
	 */
	public HttpLimits withMaxConnections(int connections) {
		return new HttpLimits(this.maxHeaderBytes, this.maxBodyBytes, connections, this.readTimeout);
	}

}
