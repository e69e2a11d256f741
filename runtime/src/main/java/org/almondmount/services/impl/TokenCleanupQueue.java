package org.almondmount.services.impl;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Tokens of this process's own transactions whose rows can be deleted by and by.
 * Thread-safe.
 * <p>
 * A token's row has to outlive every copy of its transaction that may still be on its
 * way, else a late copy would take effect a second time. Copies live no longer than a few
 * attempts of some hundred milliseconds; ten minutes is far beyond that.
 */
final class TokenCleanupQueue {

	private static final long RETENTION_NANOS = 600_000_000_000L;

	private static final int MAX_BATCH_SIZE = 4;

	private static final int MAX_SIZE = 100_000;

	private final LongSupplier nanoClock;

	private final Deque<ResolvedToken> add = new ArrayDeque<>();

	TokenCleanupQueue(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
	}

	synchronized void add(String key) {
		if (this.add.size() < MAX_SIZE) {
			this.add.add(new ResolvedToken(key, this.nanoClock.getAsLong()));
		}
	}

	/**
	 * Takes some keys whose rows are of no use any more.
	 * @return a few keys; give them to {@link #add} again if they were not deleted
	 */
	synchronized List<String> pollExpired() {
		long now = this.nanoClock.getAsLong();
		List<String> keys = new ArrayList<>();
		while (keys.size() < MAX_BATCH_SIZE && !this.add.isEmpty()
				&& now - this.add.peek().resolvedAtNanos() > RETENTION_NANOS) {
			keys.add(this.add.poll().key());
		}
		return keys;
	}

	/**
	 * A token's row and when its transaction's ending was known.
	 */
	private record ResolvedToken(String key, long resolvedAtNanos) {

	}

}
