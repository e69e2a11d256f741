package org.almondmount.fleet.entry;

import java.util.List;
import java.util.Optional;

import org.almondmount.fleet.FleetSettings;
import org.almondmount.fleet.Loop;
import org.almondmount.fleet.StorePatience;
import org.almondmount.fleet.Tables;
import org.almondmount.rows.RowStore;
import org.almondmount.rows.RowStore.Write;

/**
 * Makes this entry known in the store and learns of the others from there. Belongs to the
 * loop's thread.
 */
final class EntryRegister {

	private static final long RETRY_MILLIS = 300;

	/** How often an entry that is alone, or nearly so, looks for others. */
	private static final long LOOK_MILLIS = 2_500;

	private static final int MOST_ENTRIES = 500;

	private final FleetSettings settings;

	private final RowStore store;

	private final Loop loop;

	private final StorePatience patience;

	private final PeerLinks peers;

	EntryRegister(FleetSettings settings, RowStore store, Loop loop, StorePatience patience, PeerLinks peers) {
		this.settings = settings;
		this.store = store;
		this.loop = loop;
		this.patience = patience;
		this.peers = peers;
	}

	void start() {
		enrol();
		this.loop.every(LOOK_MILLIS, this::learnWhenAlone);
	}

	private void enrol() {
		Write row = new Write(new RowStore.Place(Tables.ENTRIES, this.settings.name()),
				Optional.of(this.settings.peerAddress()));
		this.loop.then(this.store.commit(List.of(), List.of(row), this.patience.timeout()), (ending) -> {
			if (ending instanceof RowStore.Commit.Committed) {
				learn();
				return;
			}
			this.loop.after(RETRY_MILLIS, this::enrol);
		});
	}

	private void learnWhenAlone() {
		if (this.peers.connectedAddresses().size() <= 1) {
			learn();
		}
	}

	private void learn() {
		this.loop.then(this.store.read(Tables.ENTRIES, "", MOST_ENTRIES, this.patience.timeout()), (read) -> {
			if (read instanceof RowStore.Read.Found found) {
				found.rows().forEach((row) -> row.value().ifPresent(this.peers::known));
			}
		});
	}

}
