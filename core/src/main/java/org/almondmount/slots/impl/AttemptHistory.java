package org.almondmount.slots.impl;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Records attempts that were run, refused or cancelled. Bounded; not thread-safe.
 * <p>
 * A copy of a message can arrive after the attempt was refused, when the caller may
 * already have been informed that the request did not run. Running the copy would make
 * that answer wrong. Every attempt is therefore recorded for longer than any connection
 * can delay a message. Evicting records early when the history is full would reintroduce
 * the fault, so {@link #hasCapacity()} returns false and no new attempt is run.
 */
final class AttemptHistory {

	private final long retentionMillis;

	private final int maxAttempts;

	private final Map<AttemptKey, RecordedAttempt> attempts = new HashMap<>();

	private final Deque<RecordedAttempt> expiryOrder = new ArrayDeque<>();

	AttemptHistory(long retentionMillis, int maxAttempts) {
		this.retentionMillis = retentionMillis;
		this.maxAttempts = maxAttempts;
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
	 * Records an attempt, replacing an earlier record of it.
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
