package org.almondmount.gang.impl;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.almondmount.jobs.Attempt;
import org.almondmount.model.JobId;

/**
 * The highest fenced attempt of each job; no order for it or an earlier attempt is
 * accepted. Bounded; not thread-safe.
 * <p>
 * An abort can overtake the order that it revokes, and a duplicate of an old order can
 * arrive late. Without a fence the old attempt would start beside its successor: the job
 * would run twice, once of them partially.
 */
final class AttemptFences {

	private final long retentionMillis;

	private final int maxJobs;

	private final Map<JobId, Fence> fences = new LinkedHashMap<>();

	AttemptFences(long retentionMillis, int maxJobs) {
		this.retentionMillis = retentionMillis;
		this.maxJobs = maxJobs;
	}

	/**
	 * Fences an attempt and all earlier ones of its job.
	 * @param now the time
	 * @param attempt the attempt
	 */
	void fence(long now, Attempt attempt) {
		Fence previous = this.fences.remove(attempt.job());
		int attemptNumber = (previous != null) ? Math.max(previous.attemptNumber(), attempt.number())
				: attempt.number();
		this.fences.put(attempt.job(), new Fence(attemptNumber, now + this.retentionMillis));
	}

	boolean isFenced(Attempt attempt) {
		Fence fence = this.fences.get(attempt.job());
		return fence != null && attempt.number() <= fence.attemptNumber();
	}

	/**
	 * Returns whether another job may be accepted. At full capacity a later abort of the
	 * job could not be remembered.
	 * @return false if the table is full
	 */
	boolean hasCapacity() {
		return this.fences.size() < this.maxJobs;
	}

	void expire(long now) {
		Iterator<Fence> oldestFirst = this.fences.values().iterator();
		while (oldestFirst.hasNext() && oldestFirst.next().expiresAtMillis() <= now) {
			oldestFirst.remove();
		}
	}

	private record Fence(int attemptNumber, long expiresAtMillis) {
	}

}
