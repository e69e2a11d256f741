package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.almondmount.workflow.JobRecord.Crash;
import org.almondmount.workflow.WorkerIncarnation;

/**
 * The workers that crashed under a task. Mutable; owned by the scheduler.
 * <p>
 * A task may crash each worker that starts it, and would take down one after the other,
 * with all that runs there, for as long as it is begun anew. Sound tasks are under
 * crashes too: everything on the worker goes with it, and workers crash for reasons of
 * their own. So a suspect is begun where it takes nothing down, and is given up once most
 * of the blame falls on it and its workers crashed at the same point of its work.
 */
final class CrashHistory {

	/**
	 * A task is given up after so many crashes of which one was seen, whatever speaks for
	 * it: the reports of the others are lost where all processes are killed before they
	 * are kept.
	 */
	private static final int MAX_CRASHES = 5;

	/**
	 * Seen crashes at the same age; fewer may be chance: workers crash for reasons of
	 * their own.
	 */
	private static final int MIN_OBSERVED_CRASHES = 3;

	/** Blame of a suspect, in percent of one crash. */
	private static final int SUSPECT_BLAME_PERCENT = 50;

	/** Blame of a task that is given up, in percent of one crash. */
	private static final int GIVE_UP_BLAME_PERCENT = 200;

	/** Crashes of a sound task: by then it is better kept apart. */
	private static final int SUSPECT_CRASH_COUNT = 3;

	/**
	 * The ages at which a task crashes its workers differ by no more, in milliseconds: an
	 * age is known up to the pause between two answers of a worker.
	 */
	private static final long SAME_AGE_TOLERANCE_MILLIS = 1_500;

	/** A run that is so much older than its task's crashes is not to blame for them. */
	private static final long SAFE_AGE_MARGIN_MILLIS = 2_000;

	/** A suspect waits no longer for a worker of its own, in milliseconds. */
	private static final long ISOLATION_TIMEOUT_MILLIS = 2_000;

	private final List<Crash> crashes = new ArrayList<>();

	private long isolatedUntilMillis = Long.MIN_VALUE;

	/** Crashes of runs up to this one are forgotten for good; reports are repeated. */
	private int clearedUpToRun;

	/**
	 * Takes note of a crash.
	 * @param now the steady clock
	 * @param crash the crash
	 * @return whether it is a new one; reports are repeated
	 */
	boolean add(long now, Crash crash) {
		if (isKnown(crash)) {
			return false;
		}
		this.crashes.removeIf((known) -> known.run() == crash.run());
		this.crashes.add(crash);
		this.isolatedUntilMillis = now + ISOLATION_TIMEOUT_MILLIS;
		return true;
	}

	private boolean isKnown(Crash crash) {
		if (crash.run() <= this.clearedUpToRun) {
			return true;
		}
		boolean full = !crash.confirmed() && this.crashes.size() >= MAX_CRASHES;
		return full || this.crashes.stream()
			.anyMatch((known) -> known.run() == crash.run() && (known.confirmed() || !crash.confirmed()));
	}

	/**
	 * Takes note of a run that ended otherwise. After the crashes that make a suspect,
	 * each start counts against the bound, however it ends.
	 * @param now the steady clock
	 * @param run the run's number
	 * @param life the life of the worker
	 * @return whether it counts
	 */
	boolean countRun(long now, int run, WorkerIncarnation life) {
		return this.crashes.size() >= SUSPECT_CRASH_COUNT && add(now, Crash.unconfirmed(run, life));
	}

	/** A run of the task has shown that it is not to blame. */
	void clear() {
		for (Crash crash : this.crashes) {
			this.clearedUpToRun = Math.max(this.clearedUpToRun, crash.run());
		}
		this.crashes.clear();
	}

	boolean isEmpty() {
		return this.crashes.isEmpty();
	}

	/**
	 * Whether the task is not to be begun any more.
	 * @return whether enough speaks against it
	 */
	boolean shouldGiveUp() {
		long observedCount = observed().count();
		boolean sameAge = maxAgeMillis() - minAgeMillis() <= SAME_AGE_TOLERANCE_MILLIS;
		boolean attributable = sameAge && observedCount >= MIN_OBSERVED_CRASHES
				&& blamePercent() >= GIVE_UP_BLAME_PERCENT;
		return attributable || (observedCount > 0 && this.crashes.size() >= MAX_CRASHES);
	}

	boolean isSuspect() {
		return blamePercent() >= SUSPECT_BLAME_PERCENT || observed().count() >= SUSPECT_CRASH_COUNT;
	}

	/**
	 * With what company the task may be begun.
	 * @param now the steady clock
	 * @return how careful to be
	 */
	IsolationLevel isolation(long now) {
		if (!isSuspect()) {
			return IsolationLevel.NONE;
		}
		return (now < this.isolatedUntilMillis) ? IsolationLevel.ALONE : IsolationLevel.MINIMIZE_IMPACT;
	}

	/**
	 * Until what age its runs may still crash their worker.
	 * @return milliseconds at work
	 */
	long riskPeriodMillis() {
		return maxAgeMillis() + SAFE_AGE_MARGIN_MILLIS;
	}

	List<Crash> crashes() {
		return this.crashes;
	}

	void restore(List<Crash> persisted) {
		this.crashes.clear();
		this.crashes.addAll(persisted);
	}

	int blamePercent() {
		return this.crashes.stream().mapToInt(Crash::blamePercent).sum();
	}

	private Stream<Crash> observed() {
		return this.crashes.stream().filter(Crash::confirmed);
	}

	private long maxAgeMillis() {
		return observed().mapToLong(Crash::observedRunMillis).max().orElse(0);
	}

	private long minAgeMillis() {
		return observed().mapToLong(Crash::observedRunMillis).min().orElse(0);
	}

}
