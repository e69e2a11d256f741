package org.almondmount.daemon.target;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.almondmount.model.EntryId;
import org.almondmount.wire.PeerConnection;

/**
 * The entries that are known, the links to them and when to dial which again. Owned by
 * the decisions duty.
 */
final class EntryDirectory {

	private static final long FIRST_WAIT_MILLIS = 200;

	private static final long LONGEST_WAIT_MILLIS = 5_000;

	private static final long FORGET_AFTER_MILLIS = 60_000;

	private static final int MOST_DOUBLINGS = 5;

	private final InetSocketAddress balancer;

	private final RandomGenerator random;

	private final Map<EntryId, EntryLink> links = new TreeMap<>();

	private final Map<String, Place> places = new TreeMap<>();

	private final Place balancerPlace = new Place();

	EntryDirectory(InetSocketAddress balancer, RandomGenerator random) {
		this.balancer = balancer;
		this.random = random;
	}

	List<EntryLink> links() {
		return List.copyOf(this.links.values());
	}

	Optional<EntryLink> link(EntryId entry) {
		return Optional.ofNullable(this.links.get(entry));
	}

	Optional<EntryLink> link(PeerConnection connection) {
		EntryLink link = this.links.get(new EntryId(connection.peer().name()));
		return (link != null && link.connection() == connection) ? Optional.of(link) : Optional.empty();
	}

	/**
	 * Takes a new connection. The entry drops an older connection of the same target, so
	 * the newer one counts on this side too.
	 * @param now the time
	 * @param connection the connection
	 * @return the older link to the same entry, which is to be closed
	 */
	Optional<EntryLink> opened(long now, PeerConnection connection) {
		EntryLink link = new EntryLink(connection);
		heardOf(now, link.address());
		return Optional.ofNullable(this.links.put(link.entry(), link));
	}

	Optional<EntryLink> closed(long now, PeerConnection connection) {
		Optional<EntryLink> link = link(connection);
		if (link.isEmpty()) {
			return link;
		}
		this.links.remove(link.get().entry());
		Place place = this.places.get(link.get().address());
		if (place != null) {
			backOff(now, place);
		}
		return link;
	}

	void heardOf(long now, String address) {
		if (!address.isEmpty()) {
			this.places.computeIfAbsent(address, (key) -> new Place()).heardAt = now;
		}
	}

	void dialFailed(long now, InetSocketAddress address) {
		Place place = place(address);
		if (place != null) {
			place.dialling = false;
			backOff(now, place);
		}
	}

	void dialSucceeded(InetSocketAddress address) {
		Place place = place(address);
		if (place != null) {
			place.dialling = false;
			place.failures = 0;
		}
	}

	/**
	 * The addresses to dial now, which are noted as being dialled.
	 * @param now the time
	 * @return addresses of entries without a link, or the balancer's if there is no link
	 */
	List<InetSocketAddress> due(long now) {
		forgetOld(now);
		List<InetSocketAddress> due = new ArrayList<>();
		for (Map.Entry<String, Place> entry : this.places.entrySet()) {
			if (!isLinked(entry.getKey()) && entry.getValue().takeTurn(now)) {
				due.add(Addresses.parse(entry.getKey()));
			}
		}
		if (this.links.isEmpty() && this.balancerPlace.takeTurn(now)) {
			due.add(this.balancer);
		}
		return due;
	}

	private boolean isLinked(String address) {
		for (EntryLink link : this.links.values()) {
			if (link.address().equals(address)) {
				return true;
			}
		}
		return false;
	}

	private Place place(InetSocketAddress address) {
		return address.equals(this.balancer) ? this.balancerPlace : this.places.get(Addresses.format(address));
	}

	// All targets lose an entry at the same moment; without jitter they would come back
	// at the same moment too.
	private void backOff(long now, Place place) {
		long wait = FIRST_WAIT_MILLIS << Math.min(MOST_DOUBLINGS, place.failures);
		wait = Math.min(LONGEST_WAIT_MILLIS, wait);
		place.failures++;
		place.notBefore = now + wait / 2 + this.random.nextLong(wait);
	}

	private void forgetOld(long now) {
		Iterator<Map.Entry<String, Place>> all = this.places.entrySet().iterator();
		while (all.hasNext()) {
			Map.Entry<String, Place> entry = all.next();
			boolean old = now - entry.getValue().heardAt > FORGET_AFTER_MILLIS;
			if (old && !isLinked(entry.getKey()) && !entry.getValue().dialling) {
				all.remove();
			}
		}
	}

	private static final class Place {

		private long heardAt;

		private long notBefore = Long.MIN_VALUE;

		private int failures;

		private boolean dialling;

		private boolean takeTurn(long now) {
			if (this.dialling || now < this.notBefore) {
				return false;
			}
			this.dialling = true;
			return true;
		}

	}

}
