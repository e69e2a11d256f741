package org.almondmount.gang.impl;

import java.util.Comparator;

import org.almondmount.jobs.Attempt;

/**
 * Identifies a member on this worker.
 *
 * @param attempt the attempt
 * @param member the member's number
 */
record MemberKey(Attempt attempt, int member) implements Comparable<MemberKey> {

	private static final Comparator<MemberKey> ORDER = Comparator.comparing((MemberKey key) -> key.attempt().job())
		.thenComparingInt((key) -> key.attempt().number())
		.thenComparingInt(MemberKey::member);

	@Override
	public int compareTo(MemberKey other) {
		return ORDER.compare(this, other);
	}

}
