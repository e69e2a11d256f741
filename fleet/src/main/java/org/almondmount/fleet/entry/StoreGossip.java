package org.almondmount.fleet.entry;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.almondmount.fleet.AdaptiveStoreTimeout;
import org.almondmount.fleet.EventLoop;
import org.almondmount.telemetry.EventLog;
import org.almondmount.wire.Message;

/**
 * Exchanges with other entries whether the store answers, and remembers the last message
 * of each. Mutable; confined to the event loop thread.
 * <p>
 * A job that is sent to a silent store can no longer be refused. If entries noticed the
 * silence only by their own writes, each would lose a caller, so an entry that is
 * notified of it probes the store with a read first. The store may also reject some
 * entries, the holder among them, and serve the others: a job that is forwarded to
 * another rejected entry loses its time.
 */
final class StoreGossip {

	private static final EventLog LOG = EventLog.named("StoreNews");

	private static final String ANSWERS_METHOD = "store-answers";

	private static final String SILENT_METHOD = "store-silent";

	/**
	 * Delay before the other entries are notified of a silence, in milliseconds. A store
	 * that is only slow has answered by then, and entries that probe before they write
	 * would take twice as long.
	 */
	private static final long ANNOUNCE_DELAY_MILLIS = 800;

	private final PeerLinks peers;

	private final AdaptiveStoreTimeout storeTimeout;

	private final EventLoop loop;

	private final Runnable probeStore;

	/** Entries whose last message was that the store is silent. */
	private final Set<String> silentEntries = new HashSet<>();

	/** Entries that the store has answered since it stopped answering this one. */
	private final Set<String> answeredEntries = new HashSet<>();

	/**
	 * Creates the gossip and registers it for silences of the store.
	 * @param peers the other entries
	 * @param storeTimeout tracks whether the store answers this entry
	 * @param loop the event loop
	 * @param probeStore probes whether the store answers
	 */
	StoreGossip(PeerLinks peers, AdaptiveStoreTimeout storeTimeout, EventLoop loop, Runnable probeStore) {
		this.peers = peers;
		this.storeTimeout = storeTimeout;
		this.loop = loop;
		this.probeStore = probeStore;
		storeTimeout.onSilence(this::onStoreSilent);
	}

	/** Notifies the other entries that the store answers this one again. */
	void onStoreAnswering() {
		broadcast(ANSWERS_METHOD);
	}

	/**
	 * Handles a message of another entry.
	 * @param address the address of the entry
	 * @param call the message
	 * @return false if the message is not about the store
	 */
	boolean handle(String address, Message.Forward call) {
		if (call.method().equals(ANSWERS_METHOD)) {
			this.silentEntries.remove(address);
			this.answeredEntries.add(address);
			this.probeStore.run();
			return true;
		}
		if (call.method().equals(SILENT_METHOD)) {
			LOG.info("store-silent-elsewhere", "entry", address, "expectedHere", this.storeTimeout.isSilenceExpected());
			this.silentEntries.add(address);
			this.answeredEntries.remove(address);
			this.storeTimeout.onPeerSilence();
			this.probeStore.run();
			return true;
		}
		return false;
	}

	/**
	 * Discards the state of an entry, which may have restarted.
	 * @param address the address of the entry
	 */
	void onConnected(String address) {
		this.silentEntries.remove(address);
		this.answeredEntries.remove(address);
	}

	/**
	 * Returns an entry that may reach the store.
	 * @param eligible the entries to consider
	 * @return an entry that the store has answered since it stopped answering this one,
	 * or else one that has not reported the store as silent
	 */
	Optional<String> mayReachStore(Predicate<String> eligible) {
		return findFirst(eligible.and(this.answeredEntries::contains))
			.or(() -> findFirst(eligible.and((address) -> !this.silentEntries.contains(address))));
	}

	private Optional<String> findFirst(Predicate<String> wanted) {
		return this.peers.otherConnectedAddresses().stream().filter(wanted).findFirst();
	}

	private void onStoreSilent() {
		this.answeredEntries.clear();
		this.loop.schedule(ANNOUNCE_DELAY_MILLIS, () -> {
			if (this.storeTimeout.isSilenceExpected()) {
				broadcast(SILENT_METHOD);
			}
		});
	}

	private void broadcast(String method) {
		this.peers.broadcast(new Message.Forward(0, "", method, "", new byte[0], Map.of()));
	}

}
