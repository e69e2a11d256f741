package org.almondmount.gang.impl;

import java.util.LinkedHashSet;
import java.util.Set;

import org.almondmount.jobs.Attempt;

/**
 * Attempts whose end an entry has recorded. If the worker still lists one of them, it is
 * not reported again. Bounded; not thread-safe.
 */
final class RecordedAttempts {

	private final int maxAttempts;

	private final Set<Attempt> attempts = new LinkedHashSet<>();

	RecordedAttempts(int maxAttempts) {
		this.maxAttempts = maxAttempts;
	}

	void add(Attempt attempt) {
		this.attempts.add(attempt);
		// Evicting the oldest attempt costs at most one redundant report.
		if (this.attempts.size() > this.maxAttempts) {
			this.attempts.remove(this.attempts.iterator().next());
		}
	}

	boolean contains(Attempt attempt) {
		return this.attempts.contains(attempt);
	}

}
