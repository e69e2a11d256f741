package org.almondmount.services.impl;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Queue of the tokens of this process's resolved transactions, whose rows are deleted
 * after a retention time. Thread-safe.
 * <p>
 * A token row must outlive every copy of its transaction that may still be in flight, or
 * a delayed copy would be applied a second time. Copies are in flight no longer than a
 * few attempts of some hundred milliseconds; the retention time of ten minutes is far
 * longer.
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
	 * Removes some keys from the queue whose rows can be deleted.
	 * @return a batch of keys; pass them to {@link #add} again if their rows were not
	 * deleted
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
	 * The key of a token row and the time when its transaction was resolved.
	 */
	private record ResolvedToken(String key, long resolvedAtNanos) {

	}

}
