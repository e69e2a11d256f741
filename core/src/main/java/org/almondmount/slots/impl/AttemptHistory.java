package org.almondmount.slots.impl;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Remembers attempts that were run, refused or cancelled. Bounded; not thread-safe.
 * <p>
 * A copy of a message can come after the attempt was refused, when the caller may already
 * have been told that it did not run. Running the copy would make that untrue. Every
 * attempt is therefore remembered for longer than any connection can hold a message back.
 * When the memory is full, forgetting early would reopen the fault, so
 * {@link #hasCapacity()} turns false and nothing new is run.
 */
final class AttemptHistory {

	private final long retentionMillis;

	private final int maxAttempts;

	private final Map<AttemptKey, RecordedAttempt> attempts = new HashMap<>();

	private final Deque<RecordedAttempt> expiryOrder = new ArrayDeque<>();

	AttemptHistory(long rememberMillis, int most) {
		this.retentionMillis = rememberMillis;
		this.maxAttempts = most;
	}

	boolean hasRun(AttemptKey attempt) {
		RecordedAttempt recorded = this.attempts.get(attempt);
		return recorded != null && recorded.ran();
	}

	boolean isKnownNotRun(AttemptKey attempt) {
		RecordedAttempt recorded = this.attempts.get(attempt);
		return recorded != null && !recorded.ran();
	}

	boolean hasCapacity() {
		return this.attempts.size() < this.maxAttempts;
	}

	/**
	 * Remembers an attempt from now on, in place of what was known about it.
	 * @param now the time
	 * @param attempt the attempt
	 * @param ran whether it was passed to the instance
	 */
	void record(long now, AttemptKey attempt, boolean ran) {
		RecordedAttempt recorded = new RecordedAttempt(attempt, ran, now + this.retentionMillis);
		this.attempts.put(attempt, recorded);
		this.expiryOrder.addLast(recorded);
	}

	void expire(long now) {
		while (!this.expiryOrder.isEmpty() && this.expiryOrder.peekFirst().expiresAtMillis() <= now) {
			RecordedAttempt oldest = this.expiryOrder.pollFirst();
			this.attempts.remove(oldest.attempt(), oldest);
		}
	}

	private record RecordedAttempt(AttemptKey attempt, boolean ran, long expiresAtMillis) {
	}

}
