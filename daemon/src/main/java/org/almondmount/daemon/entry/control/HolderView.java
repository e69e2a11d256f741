package org.almondmount.daemon.entry.control;

import java.util.Optional;

import org.almondmount.model.EntryId;

/**
 * Which entry holds the scheduler's lease, as far as this entry has heard. Not
 * thread-safe.
 */
final class HolderView {

	private Optional<EntryId> holder = Optional.empty();

	private long epoch;

	private String address = "";

	/**
	 * Somebody said who holds the lease.
	 * @param entry the holder
	 * @param underEpoch its epoch; a lower one than known is ignored
	 * @param peerAddress its peer address, empty if not known
	 */
	void heard(EntryId entry, long underEpoch, String peerAddress) {
		if (underEpoch < this.epoch || underEpoch == 0) {
			return;
		}
		if (underEpoch > this.epoch || this.holder.isEmpty()) {
			this.address = "";
		}
		this.holder = Optional.of(entry);
		this.epoch = underEpoch;
		if (!peerAddress.isEmpty()) {
			this.address = peerAddress;
		}
	}

	/**
	 * The entry holds it no longer.
	 * @param entry the former holder
	 */
	void gone(EntryId entry) {
		if (this.holder.isPresent() && this.holder.get().equals(entry)) {
			this.holder = Optional.empty();
		}
	}

	Optional<EntryId> holder() {
		return this.holder;
	}

	long epoch() {
		return this.epoch;
	}

	String address() {
		return this.address;
	}

}
