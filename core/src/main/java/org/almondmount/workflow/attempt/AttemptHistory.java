package org.almondmount.workflow.attempt;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.almondmount.workflow.JobRecord.FailedAttempt;

/**
 * Where the attempts of one task, or of a gang as a whole, failed. Mutable; owned by the
 * scheduler.
 */
public final class AttemptHistory {

	/**
	 * Maximum number of failed runs that are remembered, which bounds the stored record
	 * of a task. All members of a gang that fail in one attempt count; the oldest runs
	 * are forgotten first.
	 */
	public static final int MAX_FAILED_RUNS = 16;

	private static final long UNKNOWN = Long.MIN_VALUE;

	private final List<FailedAttempt> attempts = new ArrayList<>(1);

	/** What was already reported of the retry that follows the last failure. */
	private final Set<RetryPlacement> reported = EnumSet.noneOf(RetryPlacement.class);

	private long failedAtMillis = UNKNOWN;

	/**
	 * Records a failed run. Several members of a gang may fail in the same attempt, and
	 * only the first of them begins a new one.
	 * @param now the steady clock
	 * @param attempt the run and where it failed
	 */
	public void add(long now, FailedAttempt attempt) {
		boolean knownAttempt = false;
		for (FailedAttempt known : this.attempts) {
			knownAttempt |= known.run() == attempt.run();
			if (known.run() == attempt.run() && known.incarnation().equals(attempt.incarnation())) {
				return;
			}
		}
		if (this.attempts.size() == MAX_FAILED_RUNS) {
			this.attempts.remove(0);
		}
		this.attempts.add(attempt);
		if (!knownAttempt) {
			this.failedAtMillis = now;
			this.reported.clear();
		}
	}

	/**
	 * Returns the latest failed runs.
	 * @param max the maximum number of runs
	 * @return the runs, the oldest first
	 */
	public List<FailedAttempt> latest(int max) {
		int first = Math.max(0, this.attempts.size() - max);
		return List.copyOf(this.attempts.subList(first, this.attempts.size()));
	}

	/**
	 * Returns the workers on which runs failed, whichever of their incarnations it was.
	 * @return the identifiers of the workers
	 */
	public Set<String> workers() {
		Set<String> workers = new HashSet<>();
		for (FailedAttempt attempt : this.attempts) {
			workers.add(attempt.incarnation().worker());
		}
		return workers;
	}

	/**
	 * Returns when the last attempt failed. The time of a failure in an earlier term is
	 * not known, so such an attempt counts as failed when this is called first.
	 * @param now the steady clock
	 * @return a time of the steady clock
	 */
	public long failedAtMillis(long now) {
		if (this.failedAtMillis == UNKNOWN) {
			this.failedAtMillis = now;
		}
		return this.failedAtMillis;
	}

	/**
	 * Marks a decision on the retry as reported, so that a unit that waits for many
	 * placement rounds is reported once.
	 * @param placement the decision
	 * @return whether it had not been reported since the last failure
	 */
	public boolean markReported(RetryPlacement placement) {
		return this.reported.add(placement);
	}

	/**
	 * Replaces the history by a stored one.
	 * @param persisted the failed runs, the oldest first
	 */
	public void restore(List<FailedAttempt> persisted) {
		clear();
		this.attempts.addAll(persisted);
	}

	/** Forgets all failures. */
	public void clear() {
		this.attempts.clear();
		this.reported.clear();
		this.failedAtMillis = UNKNOWN;
	}

}
