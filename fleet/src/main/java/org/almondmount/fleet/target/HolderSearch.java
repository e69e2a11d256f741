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
 * Finds the entry that holds the term. Belongs to the loop's thread.
 * <p>
 * Any entry says whether it is the holder or, as soon as it knows, who is. So a few are
 * dialled at first, other ones by each target, and one more now and then, since an entry
 * may be cut off from the holder itself. Were all targets to dial all entries after a
 * loss of power, the entries would be busy with connections for seconds, while callers
 * and the term wait. Once the holder is found the other connections are closed: they
 * would only cost heartbeats.
 */
final class HolderSearch {

	/** So that one that is gone or knows nothing does not cost a turn. */
	private static final int INITIAL_DIAL_COUNT = 2;

	/**
	 * Turns until one more entry is dialled: somewhat longer than an entry that reaches
	 * the others takes to hear of a holder.
	 */
	private static final int ROUNDS_PER_EXTRA_DIAL = 2;

	private final Consumer<String> dialler;

	/** Decides with which entry this target begins. */
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
	 * Takes note of entries.
	 * @param addresses their addresses
	 */
	void addAddresses(List<String> addresses) {
		this.knownAddresses.addAll(addresses);
	}

	// Forgets entries that are no longer named; those that are connected stay.
	void replaceAddresses(List<String> addresses) {
		if (!addresses.isEmpty()) {
			this.knownAddresses.retainAll(addresses);
			this.knownAddresses.addAll(addresses);
		}
	}

	/** Takes a turn of the search while the holder is not known. */
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
		List<String> order = new ArrayList<>(this.knownAddresses);
		if (!order.isEmpty()) {
			Collections.rotate(order, Math.floorMod(this.startOffset, order.size()));
		}
		return order;
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
	 * Takes note of a lost connection.
	 * @param connection the connection
	 * @return whether it was the holder's
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
	 * An entry says that it holds the term.
	 * @param connection its connection
	 * @param announcedEpoch the epoch
	 * @return whether it is the holder from now on
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
	 * An entry says that it does not hold the term.
	 * @param connection its connection
	 * @return whether it was the holder until now
	 */
	boolean onNotHolder(PeerConnection connection) {
		if (this.holder.map((current) -> current == connection).orElse(false)) {
			this.holder = Optional.empty();
			return true;
		}
		return false;
	}

}
