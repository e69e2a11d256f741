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
 * Connections to targets. Belongs to the loop's thread.
 */
final class TargetLinks {

	private final Map<String, Link> links = new HashMap<>();

	private final Supplier<List<String>> entries;

	private long holderEpoch;

	private TermRow holder;

	TargetLinks(Supplier<List<String>> entries) {
		this.entries = entries;
	}

	void opened(PeerConnection connection) {
		Link before = this.links.put(connection.peer().name(), new Link(connection));
		if (before != null) {
			before.connection.close(CloseReason.REPLACED);
		}
		tellHolder(connection);
	}

	void closed(PeerConnection connection) {
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
	 * This entry takes the term, so the holder that was last seen is none any more.
	 * @param epoch the epoch of the term
	 */
	void termBegan(long epoch) {
		this.holder = null;
		announceHolder(epoch);
	}

	void announceHolder(long epoch) {
		this.holderEpoch = epoch;
		this.links.values().forEach((link) -> tellHolder(link.connection));
	}

	void announceNoHolder() {
		this.holderEpoch = 0;
		this.links.values().forEach((link) -> tellHolder(link.connection));
	}

	void holderSeen(TermRow row) {
		this.holder = row;
		if (this.holderEpoch == 0) {
			this.links.values().forEach((link) -> tellHolder(link.connection));
		}
	}

	void granted(String target, long heartbeat, long epoch, long leaseMillis) {
		Link link = this.links.get(target);
		if (link != null) {
			link.heartbeat = heartbeat;
			link.connection.send(new Message.LeaseGranted(epoch, heartbeat, leaseMillis, this.entries.get()));
		}
	}

	/**
	 * Sends to a target.
	 * @param target the target
	 * @param message makes the message from the last heartbeat that was heard
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

	private void tellHolder(PeerConnection connection) {
		connection.send(new Message.EntryHeartbeat(0, 0, this.holderEpoch, this.holderEpoch != 0));
		if (this.holderEpoch == 0 && this.holder != null) {
			connection.send(new Message.HolderAnnouncement(new EntryId(this.holder.holder()), this.holder.epoch(),
					this.holder.address()));
		}
	}

	/**
	 * A connection with the last heartbeat that came on it.
	 */
	private static final class Link {

		private final PeerConnection connection;

		private long heartbeat;

		Link(PeerConnection connection) {
			this.connection = connection;
		}

	}

}
