package org.almondmount.daemon.entry.control;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;

import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.membership.EntryDirectory;
import org.almondmount.model.EntryId;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * What entries say to each other besides forwarded calls. Owned by the control duty.
 */
final class EntryTalk {

	private final EntryContext context;

	private final Peers peers;

	private final Scheduling scheduling;

	private final ConfigurationDriver configuration;

	private final EntryDirectory directory;

	private final HolderView holder;

	private final Consumer<InetSocketAddress> dial;

	private long sequence;

	private long heartbeatAt = Long.MIN_VALUE;

	EntryTalk(EntryContext context, Scheduling scheduling, ConfigurationDriver configuration, Shared shared,
			Consumer<InetSocketAddress> dial) {
		this.context = context;
		this.peers = shared.peers();
		this.scheduling = scheduling;
		this.configuration = configuration;
		this.directory = shared.directory();
		this.holder = shared.holder();
		this.dial = dial;
	}

	void opened(PeerConnection connection) {
		this.peers.entryOpened(connection);
		this.directory.onConnected(this.context.clock().millis(), connection.peer().address());
		this.configuration.current().ifPresent((now) -> connection.send(new Message.ConfigurationPush(now)));
		this.holder.holder()
			.ifPresent((entry) -> connection
				.send(new Message.HolderAnnouncement(entry, this.holder.epoch(), this.holder.address())));
	}

	void closed(PeerConnection connection) {
		this.peers.entryClosed(connection);
		this.directory.onDisconnected(this.context.clock().millis(), connection.peer().address());
	}

	void received(PeerConnection connection, Message message) {
		if (message instanceof Message.EntryHeartbeat heartbeat) {
			heartbeat(connection, heartbeat);
		}
		else if (message instanceof Message.HeartbeatReply reply) {
			this.configuration.revisionSeen(reply.revision(), connection.peer().name());
			named(reply.entries());
		}
		else if (message instanceof Message.HolderAnnouncement is) {
			this.holder.heard(is.holder(), is.epoch(), is.address());
			named(List.of(is.address()));
		}
		else if (message instanceof Message.Leaving) {
			this.directory.onShutdownAnnounced(connection.peer().address());
		}
	}

	/** Tells the other entries at the next tick what has changed here. */
	void beatSoon() {
		this.heartbeatAt = Long.MIN_VALUE;
	}

	void tick(long now) {
		for (String address : this.directory.addressesToDial(now)) {
			this.dial.accept(parse(address));
		}
		if (now < this.heartbeatAt) {
			return;
		}
		this.heartbeatAt = now + this.context.settings().timing().heartbeat().toMillis();
		this.peers.toEntries(new Message.EntryHeartbeat(++this.sequence, this.configuration.revision(),
				this.holder.epoch(), this.scheduling.term().isPresent()));
	}

	private void heartbeat(PeerConnection connection, Message.EntryHeartbeat heartbeat) {
		EntryId sender = Peers.entryOf(connection);
		if (heartbeat.holder()) {
			this.holder.heard(sender, heartbeat.epoch(), connection.peer().address());
		}
		else {
			this.holder.gone(sender);
		}
		this.configuration.revisionSeen(heartbeat.revision(), sender.value());
		connection.send(new Message.HeartbeatReply(heartbeat.sequence(), this.configuration.revision(), 0, List.of(),
				List.of(), this.directory.addressesToAnnounce()));
	}

	private void named(List<String> addresses) {
		long now = this.context.clock().millis();
		for (String address : addresses) {
			if (isAddress(address)) {
				this.directory.addAddress(now, address);
			}
		}
	}

	// A malformed address from a faulty peer would fail again at each dial.
	private static boolean isAddress(String text) {
		int colon = text.lastIndexOf(':');
		return colon > 0 && text.substring(colon + 1).matches("[1-9]\\d{0,4}")
				&& Integer.parseInt(text.substring(colon + 1)) <= 65_535
				&& text.substring(0, colon).matches("[0-9A-Fa-f.:]+");
	}

	private static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	/**
	 * What the parts of the control duty share.
	 *
	 * @param peers the connections
	 * @param directory the entries' addresses
	 * @param holder who holds the lease
	 */
	record Shared(Peers peers, EntryDirectory directory, HolderView holder) {
	}

}
