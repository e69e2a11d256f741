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
final class TokenLedger {

	private static final long KEPT_NANOS = 600_000_000_000L;

	private static final int MOST_AT_ONCE = 4;

	private static final int MOST = 100_000;

	private final LongSupplier nanoClock;

	private final Deque<Settled> settled = new ArrayDeque<>();

	TokenLedger(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
	}

	synchronized void settled(String key) {
		if (this.settled.size() < MOST) {
			this.settled.add(new Settled(key, this.nanoClock.getAsLong()));
		}
	}

	/**
	 * Takes some keys whose rows are of no use any more.
	 * @return a few keys; give them to {@link #settled} again if they were not deleted
	 */
	synchronized List<String> takeOld() {
		long now = this.nanoClock.getAsLong();
		List<String> keys = new ArrayList<>();
		while (keys.size() < MOST_AT_ONCE && !this.settled.isEmpty()
				&& now - this.settled.peek().atNanos() > KEPT_NANOS) {
			keys.add(this.settled.poll().key());
		}
		return keys;
	}

	/**
	 * A token's row and when its transaction's ending was known.
	 */
	private record Settled(String key, long atNanos) {

	}

}
