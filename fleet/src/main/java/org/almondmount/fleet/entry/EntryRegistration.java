package org.almondmount.fleet.entry;

import java.util.List;
import java.util.Optional;

import org.almondmount.fleet.AdaptiveStoreTimeout;
import org.almondmount.fleet.EntryAddresses;
import org.almondmount.fleet.EventLoop;
import org.almondmount.fleet.FleetSettings;
import org.almondmount.fleet.Tables;
import org.almondmount.rows.RowStore;
import org.almondmount.rows.RowStore.Write;

/**
 * Registers this entry in the store and discovers the other entries there. Confined to
 * the event loop thread.
 */
final class EntryRegistration {

	private static final long RETRY_DELAY_MILLIS = 300;

	/**
	 * Interval at which an entry without connections to other entries reads the table of
	 * entries.
	 */
	private static final long DISCOVERY_INTERVAL_MILLIS = 2_500;

	private static final int MAX_ENTRIES = 500;

	private final FleetSettings settings;

	private final RowStore store;

	private final EventLoop loop;

	private final AdaptiveStoreTimeout storeTimeout;

	private final PeerLinks peers;

	private final EntryAddresses addresses;

	EntryRegistration(FleetSettings settings, RowStore store, EventLoop loop, AdaptiveStoreTimeout storeTimeout,
			PeerLinks peers, EntryAddresses addresses) {
		this.addresses = addresses;
		this.settings = settings;
		this.store = store;
		this.loop = loop;
		this.storeTimeout = storeTimeout;
		this.peers = peers;
	}

	void start() {
		register();
		this.loop.scheduleRepeatedly(DISCOVERY_INTERVAL_MILLIS, this::discoverWhenAlone);
	}

	private void register() {
		Write row = new Write(new RowStore.Place(Tables.ENTRIES, this.settings.name()),
				Optional.of(this.settings.peerAddress()));
		this.loop.onCompletion(this.store.commit(List.of(), List.of(row), this.storeTimeout.timeout()), (outcome) -> {
			if (outcome instanceof RowStore.Commit.Committed) {
				discoverEntries();
				return;
			}
			this.loop.schedule(RETRY_DELAY_MILLIS, this::register);
		});
	}

	private void discoverWhenAlone() {
		if (this.peers.connectedAddresses().size() <= 1) {
			discoverEntries();
		}
	}

	private void discoverEntries() {
		this.loop.onCompletion(this.store.read(Tables.ENTRIES, "", MAX_ENTRIES, this.storeTimeout.timeout()),
				(read) -> {
					if (read instanceof RowStore.Read.Found found) {
						this.addresses.read(found.rows()).forEach(this.peers::addAddress);
					}
				});
	}

}
