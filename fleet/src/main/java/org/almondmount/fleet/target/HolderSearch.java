package org.almondmount.fleet.target;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.almondmount.wire.CloseReason;
import org.almondmount.wire.PeerConnection;

/**
 * Finds the entry that holds the term. Confined to the event loop thread.
 * <p>
 * Any entry announces that it is the holder or, as soon as it knows, which entry is. So
 * the target first dials a few entries, which differ from target to target, and adds
 * another one from time to time, since an entry may be cut off from the holder. If all
 * targets dialled all entries after a power failure, the entries would be busy with
 * connections for seconds, while callers and the term wait. Once the holder is found, the
 * other connections are closed, since they would only cost heartbeats.
 */
final class HolderSearch {

	/**
	 * More than one, so that an entry that is down or knows no holder does not cost a
	 * round.
	 */
	private static final int INITIAL_DIAL_COUNT = 2;

	/**
	 * Rounds until one more entry is dialled: slightly longer than it takes an entry that
	 * reaches the others to learn of a holder.
	 */
	private static final int ROUNDS_PER_EXTRA_DIAL = 2;

	private final Consumer<String> dialler;

	/** Position in the list of entries at which this target starts to dial. */
	private final int startOffset;

	private final Set<String> knownAddresses = new TreeSet<>();

	private final Set<String> dialling = new LinkedHashSet<>();

	private final Map<String, PeerConnection> openConnections = new HashMap<>();

	private Optional<PeerConnection> holder = Optional.empty();

	private long epoch;

	private int roundCount;

	HolderSearch(String target, Consumer<String> dialler) {
		this.startOffset = target.hashCode();
		this.dialler = dialler;
	}

	Optional<PeerConnection> holder() {
		return this.holder;
	}

	/**
	 * Adds entries.
	 * @param addresses their addresses
	 */
	void addAddresses(List<String> addresses) {
		this.knownAddresses.addAll(addresses);
	}

	// Removes entries that are no longer listed; their open connections remain.
	void replaceAddresses(List<String> addresses) {
		if (!addresses.isEmpty()) {
			this.knownAddresses.retainAll(addresses);
			this.knownAddresses.addAll(addresses);
		}
	}

	/** Dials the next entries if the holder is unknown. */
	void dialNextEntries() {
		if (this.holder.isPresent()) {
			return;
		}
		int targetCount = INITIAL_DIAL_COUNT + this.roundCount++ / ROUNDS_PER_EXTRA_DIAL;
		for (String address : rotatedAddresses()) {
			if (this.openConnections.size() + this.dialling.size() >= targetCount) {
				return;
			}
			dial(address);
		}
	}

	private List<String> rotatedAddresses() {
		List<String> addresses = new ArrayList<>(this.knownAddresses);
		if (!addresses.isEmpty()) {
			Collections.rotate(addresses, Math.floorMod(this.startOffset, addresses.size()));
		}
		return addresses;
	}

	void dial(String address) {
		this.knownAddresses.add(address);
		if (!this.openConnections.containsKey(address) && this.dialling.add(address)) {
			this.dialler.accept(address);
		}
	}

	void dialFailed(String address) {
		this.dialling.remove(address);
	}

	void onConnected(PeerConnection connection) {
		String address = connection.peer().address();
		this.dialling.remove(address);
		PeerConnection previous = this.openConnections.put(address, connection);
		if (previous != null) {
			previous.close(CloseReason.REPLACED);
		}
	}

	/**
	 * Handles a lost connection.
	 * @param connection the connection
	 * @return whether it led to the holder
	 */
	boolean onDisconnected(PeerConnection connection) {
		this.openConnections.remove(connection.peer().address(), connection);
		boolean wasHolder = this.holder.map((current) -> current == connection).orElse(false);
		if (wasHolder) {
			this.holder = Optional.empty();
		}
		return wasHolder;
	}

	/**
	 * Handles the announcement of an entry that holds the term.
	 * @param connection the connection to the entry
	 * @param announcedEpoch the epoch of its term
	 * @return whether the entry is the holder from now on
	 */
	boolean onHolderAnnounced(PeerConnection connection, long announcedEpoch) {
		boolean current = this.openConnections.get(connection.peer().address()) == connection;
		if (!current || announcedEpoch < this.epoch) {
			return false;
		}
		this.epoch = announcedEpoch;
		this.roundCount = 0;
		this.holder = Optional.of(connection);
		List<PeerConnection> others = new ArrayList<>(this.openConnections.values());
		others.remove(connection);
		others.forEach((other) -> other.close(CloseReason.LOCAL));
		return true;
	}

	/**
	 * Handles the announcement of an entry that does not hold the term.
	 * @param connection the connection to the entry
	 * @return whether the entry was the holder until now
	 */
	boolean onNotHolder(PeerConnection connection) {
		if (this.holder.map((current) -> current == connection).orElse(false)) {
			this.holder = Optional.empty();
			return true;
		}
		return false;
	}

}
