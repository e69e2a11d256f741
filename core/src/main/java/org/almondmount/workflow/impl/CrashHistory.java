package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.almondmount.workflow.JobRecord.Crash;
import org.almondmount.workflow.WorkerIncarnation;

/**
 * The worker crashes during the runs of one task. Mutable; owned by the scheduler.
 * <p>
 * A task that crashes every worker that starts it would take down one worker after the
 * other, with everything that runs there, as long as it is restarted. Tasks that are not
 * to blame experience crashes too, since a crash ends all runs of the worker and workers
 * also crash for other reasons. A suspect is therefore started where it can harm no other
 * work, and its job fails once most of the blame falls on the task and its workers
 * crashed at the same point of its work.
 */
final class CrashHistory {

	/**
	 * Number of crashes, at least one of them observed, after which the task is given up
	 * regardless of blame and age: the reports of the other crashes are lost if all
	 * processes are killed before the reports are persisted.
	 */
	private static final int MAX_CRASHES = 5;

	/**
	 * Minimum number of observed crashes at the same age for giving up the task; fewer
	 * can be a coincidence, since workers also crash for other reasons.
	 */
	private static final int MIN_OBSERVED_CRASHES = 3;

	/** Blame from which a task is a suspect, in percent of one crash. */
	private static final int SUSPECT_BLAME_PERCENT = 50;

	/** Blame from which a task is given up, in percent of one crash. */
	private static final int GIVE_UP_BLAME_PERCENT = 200;

	/**
	 * Number of crashes from which a task is a suspect whatever its blame. A task that is
	 * not to blame may reach it too, but is then better isolated.
	 */
	private static final int SUSPECT_CRASH_COUNT = 3;

	/**
	 * Maximum difference between ages that count as the same point of the task's work, in
	 * milliseconds. The age of a run is known only to within the interval between two
	 * responses of its worker.
	 */
	private static final long SAME_AGE_TOLERANCE_MILLIS = 1_500;

	/**
	 * A run that is older than the crashes of its task by more than this, in
	 * milliseconds, is no longer a risk to its worker.
	 */
	private static final long SAFE_AGE_MARGIN_MILLIS = 2_000;

	/**
	 * Maximum time that a suspect waits for a worker on which nothing else runs, in
	 * milliseconds.
	 */
	private static final long ISOLATION_TIMEOUT_MILLIS = 2_000;

	private final List<Crash> crashes = new ArrayList<>();

	private long isolatedUntilMillis = Long.MIN_VALUE;

	/**
	 * Crashes of runs up to this number are ignored permanently, because crash reports
	 * are repeated.
	 */
	private int clearedUpToRun;

	/**
	 * Records a crash.
	 * @param now the steady clock
	 * @param crash the crash
	 * @return whether the crash is new; reports are repeated
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
	 * Records a run that ended without a worker crash. Once the task has as many crashes
	 * as make it a suspect, each start counts towards the maximum, however it ends.
	 * @param now the steady clock
	 * @param run the run's number
	 * @param incarnation the incarnation of the worker
	 * @return whether the run counts
	 */
	boolean countRun(long now, int run, WorkerIncarnation incarnation) {
		return this.crashes.size() >= SUSPECT_CRASH_COUNT && add(now, Crash.unconfirmed(run, incarnation));
	}

	/** Clears the history after a run has shown that the task is not to blame. */
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
	 * Whether the task must not be started again.
	 * @return whether its crashes reach one of the limits
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
	 * Returns the isolation that the task needs at its next start.
	 * @param now the steady clock
	 * @return the isolation level
	 */
	IsolationLevel isolation(long now) {
		if (!isSuspect()) {
			return IsolationLevel.NONE;
		}
		return (now < this.isolatedUntilMillis) ? IsolationLevel.ALONE : IsolationLevel.MINIMIZE_IMPACT;
	}

	/**
	 * Returns the age up to which a run of the task may still crash its worker.
	 * @return milliseconds of work
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
