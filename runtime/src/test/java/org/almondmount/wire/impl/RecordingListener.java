package org.almondmount.wire.impl;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerListener;

/**
 * Records all events of its connections.
 */
final class RecordingListener implements PeerListener {

	private final List<PeerConnection> opened = new CopyOnWriteArrayList<>();

	private final List<Message> received = new CopyOnWriteArrayList<>();

	private final List<CloseReason> closed = new CopyOnWriteArrayList<>();

	@Override
	public void onConnected(PeerConnection connection) {
		this.opened.add(connection);
	}

	@Override
	public void onMessage(PeerConnection connection, Message message) {
		this.received.add(message);
	}

	@Override
	public void onDisconnected(PeerConnection connection, CloseReason reason) {
		this.closed.add(reason);
	}

	List<PeerConnection> opened() {
		return this.opened;
	}

	List<Message> received() {
		return this.received;
	}

	List<CloseReason> closed() {
		return this.closed;
	}

}
