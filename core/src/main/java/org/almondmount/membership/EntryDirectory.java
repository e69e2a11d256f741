package org.almondmount.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The peer addresses of the other entries, discovered from rows that are rarely renewed
 * and by gossip. Deterministic; not thread-safe.
 * <p>
 * The table can be unavailable for a long time, and the row of a killed entry remains. An
 * address is therefore dialled with growing intervals and removed once the retention time
 * has passed without a connection. Peers that still know the address announce it again.
 */
public final class EntryDirectory {

	private static final long INITIAL_RETRY_MILLIS = 1_000;

	private static final long MAX_RETRY_MILLIS = 5_000;

	private static final int MAX_ENTRIES = 256;

	private final String ownAddress;

	private final long retentionMillis;

	private final Map<String, KnownEntry> knownEntries = new LinkedHashMap<>();

	/**
	 * Creates an empty directory.
	 * @param ownAddress this entry's peer address, which is never dialled
	 * @param retentionMillis time after which an address that does not answer is removed
	 */
	public EntryDirectory(String ownAddress, long retentionMillis) {
		this.ownAddress = ownAddress;
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Adds the address of an entry that was announced by a row, a target or a peer.
	 * @param nowMillis the driver's monotonic time
	 * @param address the address, {@code ip:port}
	 */
	public void addAddress(long nowMillis, String address) {
		if (address.isEmpty() || address.equals(this.ownAddress)) {
			return;
		}
		if (!this.knownEntries.containsKey(address) && this.knownEntries.size() < MAX_ENTRIES) {
			this.knownEntries.put(address, new KnownEntry(nowMillis));
		}
	}

	/**
	 * Records that a connection to the entry was opened by either side.
	 * @param nowMillis the driver's monotonic time
	 * @param address the entry's peer address
	 */
	public void onConnected(long nowMillis, String address) {
		addAddress(nowMillis, address);
		KnownEntry entry = this.knownEntries.get(address);
		if (entry != null) {
			entry.connections++;
			entry.retryMillis = INITIAL_RETRY_MILLIS;
		}
	}

	/**
	 * Records that a connection to the entry was closed.
	 * @param nowMillis the driver's monotonic time
	 * @param address the entry's peer address
	 */
	public void onDisconnected(long nowMillis, String address) {
		KnownEntry entry = this.knownEntries.get(address);
		if (entry != null) {
			entry.connections = Math.max(0, entry.connections - 1);
			entry.lastContactMillis = nowMillis;
			entry.nextDialMillis = nowMillis + INITIAL_RETRY_MILLIS;
		}
	}

	/**
	 * Removes an entry that announced its shutdown.
	 * @param address the entry's peer address
	 */
	public void onShutdownAnnounced(String address) {
		this.knownEntries.remove(address);
	}

	/**
	 * The addresses to dial now. Each address is returned once per retry interval.
	 * @param nowMillis the driver's monotonic time
	 * @return the addresses
	 */
	public List<String> addressesToDial(long nowMillis) {
		List<String> addresses = new ArrayList<>();
		this.knownEntries.values()
			.removeIf((entry) -> entry.connections == 0 && nowMillis - entry.lastContactMillis > this.retentionMillis);
		for (Map.Entry<String, KnownEntry> each : this.knownEntries.entrySet()) {
			KnownEntry entry = each.getValue();
			if (entry.connections > 0 || nowMillis < entry.nextDialMillis) {
				continue;
			}
			entry.nextDialMillis = nowMillis + entry.retryMillis;
			entry.retryMillis = Math.min(entry.retryMillis * 2, MAX_RETRY_MILLIS);
			addresses.add(each.getKey());
		}
		return addresses;
	}

	/**
	 * The addresses to announce to others: this entry's own address and those of
	 * connected entries.
	 * @return the addresses in order
	 */
	public List<String> addressesToAnnounce() {
		TreeSet<String> addresses = new TreeSet<>();
		addresses.add(this.ownAddress);
		this.knownEntries.forEach((address, entry) -> {
			if (entry.connections > 0) {
				addresses.add(address);
			}
		});
		return List.copyOf(addresses);
	}

	private static final class KnownEntry {

		private long lastContactMillis;

		private long nextDialMillis = Long.MIN_VALUE;

		private long retryMillis = INITIAL_RETRY_MILLIS;

		private int connections;

		KnownEntry(long now) {
			this.lastContactMillis = now;
		}

	}

}
