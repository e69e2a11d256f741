package org.almondmount.gang.impl;

import org.almondmount.model.ZoneState;

/**
 * The last received state of the worker's own zone, and until when it may be used. Not
 * thread-safe.
 */
final class ZoneView {

	private ZoneState state = ZoneState.OUT;

	private long revision = -1;

	private long validUntil = Long.MIN_VALUE;

	/**
	 * Updates the state from an entry. If the entry has an older revision, both its state
	 * and its validity are ignored.
	 * @param now the time
	 * @param newState the state
	 * @param newRevision the revision at which it was declared
	 * @param validForMillis how much longer it may be used to start tasks, in
	 * milliseconds
	 */
	void update(long now, ZoneState newState, long newRevision, long validForMillis) {
		if (newRevision < this.revision) {
			return;
		}
		if (newRevision > this.revision) {
			this.validUntil = Long.MIN_VALUE;
		}
		this.state = newState;
		this.revision = newRevision;
		if (validForMillis > 0) {
			this.validUntil = Math.max(this.validUntil, now + validForMillis);
		}
	}

	boolean isOut() {
		return this.revision >= 0 && !this.state.acceptsWork();
	}

	boolean allowsStart(long now) {
		return this.state.acceptsWork() && now < this.validUntil;
	}

}
