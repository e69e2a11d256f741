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

}
