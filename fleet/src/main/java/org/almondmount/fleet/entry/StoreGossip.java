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
 * Passes from entry to entry whether the store answers, and remembers what each said.
 * Mutable; belongs to the loop's thread.
 * <p>
 * A job that is sent to a silent store can no longer be refused. Entries that learnt of
 * the silence only by their own writes would each lose a caller, so one that hears of it
 * asks the store first, with a read. And the store may turn away some entries, the holder
 * among them, and serve the others: a job that is passed on to an entry that is turned
 * away too has lost its time.
 */
final class StoreGossip {

	private static final EventLog LOG = EventLog.of(StoreGossip.class);

	private static final String ANSWERS_METHOD = "store-answers";

	private static final String SILENT_METHOD = "store-silent";

	/**
	 * How much later the others are told of a silence, in milliseconds. A store that is
	 * only slow has answered by then, and entries that ask before they write would be
	 * twice as slow.
	 */
	private static final long ANNOUNCE_DELAY_MILLIS = 800;

	private final PeerLinks peers;

	private final AdaptiveStoreTimeout storeTimeout;

	private final EventLoop loop;

	private final Runnable probeStore;

	/** Entries whose last word was that the store is silent. */
	private final Set<String> silentEntries = new HashSet<>();

	/** Entries that were answered since this one was not. */
	private final Set<String> answeredEntries = new HashSet<>();

	/**
	 * Makes news that tell of silences from now on.
	 * @param peers the other entries
	 * @param storeTimeout knows whether the store answers this entry
	 * @param loop the thread
	 * @param probeStore asks the store whether it answers
	 */
	StoreGossip(PeerLinks peers, AdaptiveStoreTimeout storeTimeout, EventLoop loop, Runnable probeStore) {
		this.peers = peers;
		this.storeTimeout = storeTimeout;
		this.loop = loop;
		this.probeStore = probeStore;
		storeTimeout.onSilence(this::onStoreSilent);
	}

	/** The store, which was silent, answers this entry again. */
	void onStoreAnswering() {
		broadcast(ANSWERS_METHOD);
	}

	/**
	 * Takes what another entry tells.
	 * @param address the entry's address
	 * @param call what it said
	 * @return false where it is about something else
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
	 * Forgets what an entry said: it may have been started anew.
	 * @param address the entry's address
	 */
	void onConnected(String address) {
		this.silentEntries.remove(address);
		this.answeredEntries.remove(address);
	}

	/**
	 * An entry that may reach the store.
	 * @param eligible which entries may be asked
	 * @return one that was answered since this one was not, or else one of which nothing
	 * speaks against it
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
