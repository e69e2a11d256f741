package org.almondmount.daemon.entry.control;

import org.almondmount.daemon.entry.calls.RequestShell;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.telemetry.EventLog;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;

/**
 * Hands what is heard on connections to the duty that it concerns. Thread-safe.
 * <p>
 * A message that a full ring does not take can't be dropped: the sender would wait for an
 * answer that never comes. Closing its connection is enough, because each side then gives
 * what was outstanding its truthful ending and dials again.
 */
final class PeerDispatcher implements PeerListener {

	private static final EventLog LOG = EventLog.of(PeerDispatcher.class);

	private final Mailbox control;

	private final RequestShell requests;

	private final ControlShell shell;

	private final Telemetry telemetry;

	PeerDispatcher(Mailbox control, RequestShell requests, ControlShell shell, Telemetry telemetry) {
		this.control = control;
		this.requests = requests;
		this.shell = shell;
		this.telemetry = telemetry;
	}

	@Override
	public void onConnected(PeerConnection connection) {
		LOG.info("peer-opened", "role", connection.peer().role(), "peer", connection.peer().name(), "address",
				connection.peer().address());
		if (isTarget(connection)) {
			this.requests.targetOpened(connection);
		}
		this.control.deliver(() -> this.shell.opened(connection));
	}

	@Override
	public void onDisconnected(PeerConnection connection, CloseReason reason) {
		LOG.info("peer-closed", "role", connection.peer().role(), "peer", connection.peer().name(), "reason",
				reason.externalName());
		if (isTarget(connection)) {
			this.requests.targetClosed(connection);
		}
		this.control.deliver(() -> this.shell.closed(connection));
	}

	@Override
	public void onMessage(PeerConnection connection, Message message) {
		boolean taken = true;
		if (isTarget(connection) && concernsRequests(message)) {
			taken = this.requests.received(connection, message);
		}
		if (taken && concernsControl(message)) {
			taken = this.control.offer(() -> this.shell.received(connection, message));
		}
		if (!taken) {
			this.telemetry.count("ring.refused-peer");
			LOG.warn("peer-refused", "peer", connection.peer().name(), "why", "a ring is full");
			connection.close(CloseReason.LOCAL);
		}
	}

	static boolean isTarget(PeerConnection connection) {
		return connection.peer().role() == PeerInfo.Role.TARGET;
	}

	private static boolean concernsRequests(Message message) {
		return message instanceof Message.CallAnswer || message instanceof Message.CallNotStarted
				|| message instanceof Message.CallBroken || message instanceof Message.SlotsLent
				|| message instanceof Message.Leaving;
	}

	private static boolean concernsControl(Message message) {
		return !concernsRequests(message) || message instanceof Message.Leaving;
	}

}
