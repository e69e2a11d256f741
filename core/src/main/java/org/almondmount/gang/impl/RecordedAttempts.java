package org.almondmount.gang.impl;

import java.util.LinkedHashSet;
import java.util.Set;

import org.almondmount.jobs.Attempt;

/**
 * Attempts whose end is on record, so that a worker that still lists them is not reported
 * again. Bounded; not thread-safe.
 */
final class RecordedAttempts {

	private final int maxAttempts;

	private final Set<Attempt> attempts = new LinkedHashSet<>();

	RecordedAttempts(int maxAttempts) {
		this.maxAttempts = maxAttempts;
	}

	void add(Attempt attempt) {
		this.attempts.add(attempt);
		// Forgetting the oldest costs no more than one needless report.
		if (this.attempts.size() > this.maxAttempts) {
			this.attempts.remove(this.attempts.iterator().next());
		}
	}

	boolean contains(Attempt attempt) {
		return this.attempts.contains(attempt);
	}

}
