package org.almondmount.fleet.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import java.util.function.Supplier;

import org.almondmount.model.EntryId;
import org.almondmount.term.TermRow;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * Connections to targets. Confined to the event loop thread.
 */
final class TargetLinks {

	private final Map<String, Link> links = new HashMap<>();

	private final Supplier<List<String>> entryAddresses;

	private long holderEpoch;

	private TermRow otherHolder;

	TargetLinks(Supplier<List<String>> entryAddresses) {
		this.entryAddresses = entryAddresses;
	}

	void onConnected(PeerConnection connection) {
		Link previous = this.links.put(connection.peer().name(), new Link(connection));
		if (previous != null) {
			previous.connection.close(CloseReason.REPLACED);
		}
		sendHolder(connection);
	}

	void onDisconnected(PeerConnection connection) {
		Link link = this.links.get(connection.peer().name());
		if (link != null && link.connection == connection) {
			this.links.remove(connection.peer().name());
		}
	}

	boolean isCurrent(PeerConnection connection) {
		Link link = this.links.get(connection.peer().name());
		return link != null && link.connection == connection;
	}

	/**
	 * Handles the start of this entry's own term, which invalidates the holder seen
	 * before.
	 * @param epoch the epoch of the term
	 */
	void onTermBegan(long epoch) {
		this.otherHolder = null;
		announceHolder(epoch);
	}

	void announceHolder(long epoch) {
		this.holderEpoch = epoch;
		this.links.values().forEach((link) -> sendHolder(link.connection));
	}

	void announceNoHolder() {
		this.holderEpoch = 0;
		this.links.values().forEach((link) -> sendHolder(link.connection));
	}

	void onHolderSeen(TermRow row) {
		this.otherHolder = row;
		if (this.holderEpoch == 0) {
			this.links.values().forEach((link) -> sendHolder(link.connection));
		}
	}

	void grantLease(String target, long heartbeat, long epoch, long leaseMillis) {
		Link link = this.links.get(target);
		if (link != null) {
			link.heartbeat = heartbeat;
			link.connection.send(new Message.LeaseGranted(epoch, heartbeat, leaseMillis, this.entryAddresses.get()));
		}
	}

	/**
	 * Sends a message to a target.
	 * @param target the target
	 * @param message creates the message from the number of the last heartbeat received
	 * @return whether a connection to the target is open
	 */
	boolean send(String target, LongFunction<Message> message) {
		Link link = this.links.get(target);
		if (link == null) {
			return false;
		}
		link.connection.send(message.apply(link.heartbeat));
		return true;
	}

	private void sendHolder(PeerConnection connection) {
		connection.send(new Message.EntryHeartbeat(0, 0, this.holderEpoch, this.holderEpoch != 0));
		if (this.holderEpoch == 0 && this.otherHolder != null) {
			connection.send(new Message.HolderAnnouncement(new EntryId(this.otherHolder.holder()),
					this.otherHolder.epoch(), this.otherHolder.address()));
		}
	}

	/**
	 * A connection and the number of the last heartbeat received on it.
	 */
	private static final class Link {

		private final PeerConnection connection;

		private long heartbeat;

		Link(PeerConnection connection) {
			this.connection = connection;
		}

	}

}
