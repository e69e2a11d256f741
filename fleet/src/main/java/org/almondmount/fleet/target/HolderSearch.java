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
	private static final int FIRST_DIALLED = 2;

	/**
	 * Turns until one more entry is dialled: somewhat longer than an entry that reaches
	 * the others takes to hear of a holder.
	 */
	private static final int TURNS_TO_ONE_MORE = 2;

	private final Consumer<String> dialler;

	/** Decides with which entry this target begins. */
	private final int place;

	private final Set<String> known = new TreeSet<>();

	private final Set<String> dialling = new LinkedHashSet<>();

	private final Map<String, PeerConnection> open = new HashMap<>();

	private Optional<PeerConnection> holder = Optional.empty();

	private long epoch;

	private int turns;

	HolderSearch(String target, Consumer<String> dialler) {
		this.place = target.hashCode();
		this.dialler = dialler;
	}

	Optional<PeerConnection> holder() {
		return this.holder;
	}

	/**
	 * Takes note of entries.
	 * @param addresses their addresses
	 */
	void learnt(List<String> addresses) {
		this.known.addAll(addresses);
	}

	// Forgets entries that are no longer named; those that are connected stay.
	void only(List<String> addresses) {
		if (!addresses.isEmpty()) {
			this.known.retainAll(addresses);
			this.known.addAll(addresses);
		}
	}

	/** Takes a turn of the search while the holder is not known. */
	void search() {
		if (this.holder.isPresent()) {
			return;
		}
		int wanted = FIRST_DIALLED + this.turns++ / TURNS_TO_ONE_MORE;
		for (String address : inOwnOrder()) {
			if (this.open.size() + this.dialling.size() >= wanted) {
				return;
			}
			dial(address);
		}
	}

	private List<String> inOwnOrder() {
		List<String> order = new ArrayList<>(this.known);
		if (!order.isEmpty()) {
			Collections.rotate(order, Math.floorMod(this.place, order.size()));
		}
		return order;
	}

	void dial(String address) {
		this.known.add(address);
		if (!this.open.containsKey(address) && this.dialling.add(address)) {
			this.dialler.accept(address);
		}
	}

	void dialFailed(String address) {
		this.dialling.remove(address);
	}

	void opened(PeerConnection connection) {
		String address = connection.peer().address();
		this.dialling.remove(address);
		PeerConnection before = this.open.put(address, connection);
		if (before != null) {
			before.close(CloseReason.REPLACED);
		}
	}

	/**
	 * Takes note of a lost connection.
	 * @param connection the connection
	 * @return whether it was the holder's
	 */
	boolean closed(PeerConnection connection) {
		this.open.remove(connection.peer().address(), connection);
		boolean was = this.holder.map((one) -> one == connection).orElse(false);
		if (was) {
			this.holder = Optional.empty();
		}
		return was;
	}

	/**
	 * An entry says that it holds the term.
	 * @param connection its connection
	 * @param heldEpoch the epoch
	 * @return whether it is the holder from now on
	 */
	boolean holds(PeerConnection connection, long heldEpoch) {
		boolean current = this.open.get(connection.peer().address()) == connection;
		if (!current || heldEpoch < this.epoch) {
			return false;
		}
		this.epoch = heldEpoch;
		this.turns = 0;
		this.holder = Optional.of(connection);
		List<PeerConnection> others = new ArrayList<>(this.open.values());
		others.remove(connection);
		others.forEach((other) -> other.close(CloseReason.LOCAL));
		return true;
	}

	/**
	 * An entry says that it does not hold the term.
	 * @param connection its connection
	 * @return whether it was the holder until now
	 */
	boolean holdsNot(PeerConnection connection) {
		if (this.holder.map((one) -> one == connection).orElse(false)) {
			this.holder = Optional.empty();
			return true;
		}
		return false;
	}

}
