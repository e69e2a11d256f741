package org.almondmount.wire.impl;

import com.codahale.metrics.Counter;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.SendRefusal;

/**
 * The metrics of connections between processes. Thread-safe.
 */
final class WireMetrics {

	private static final String CLOSED = "wire.closed";

	private static final String REFUSED = "wire.refused";

	private static final String OPENED = "wire.opened";

	private static final String UNKNOWN_KIND = "wire.unknown-kind";

	private final Telemetry telemetry;

	private final Counter messagesIn;

	private final Counter messagesOut;

	private final Counter bytesIn;

	private final Counter bytesOut;

	WireMetrics(Telemetry telemetry) {
		this.telemetry = telemetry;
		telemetry.declare(CLOSED, CloseReason.class);
		telemetry.declare(REFUSED, SendRefusal.class);
		this.messagesIn = telemetry.registry().counter("wire.messages-in");
		this.messagesOut = telemetry.registry().counter("wire.messages-out");
		this.bytesIn = telemetry.registry().counter("wire.bytes-in");
		this.bytesOut = telemetry.registry().counter("wire.bytes-out");
	}

	void recordOpened() {
		this.telemetry.count(OPENED);
	}

	void recordClosed(CloseReason reason) {
		this.telemetry.count(CLOSED, reason);
	}

	void recordRefused(SendRefusal refusal) {
		this.telemetry.count(REFUSED, refusal);
	}

	void recordUnknownKind() {
		this.telemetry.count(UNKNOWN_KIND);
	}

	void recordReceived(int bytes) {
		this.messagesIn.inc();
		this.bytesIn.inc(bytes + FrameDecoder.LENGTH_BYTES);
	}

	void recordSent(int bytes) {
		this.messagesOut.inc();
		this.bytesOut.inc(bytes + FrameDecoder.LENGTH_BYTES);
	}

}
