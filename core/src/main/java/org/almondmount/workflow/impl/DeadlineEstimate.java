package org.almondmount.workflow.impl;

import java.util.List;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;

/**
 * How a step that waits stands against its job's objective, as far as the job's run time
 * can be foreseen. Immutable.
 * <p>
 * It answers bursts of urgent jobs of which some are wider than the fleet. Placed by
 * their latest start alone, a job that can't be in time any more takes the workers that
 * the next one needs to be in time, and both are late.
 *
 * @param timeliness what placing it now can still do
 * @param latestStartMillis by when it has to start to be in time, in milliseconds since
 * 1970
 * @param remainingCoreSeconds the work that its job has left
 */
record DeadlineEstimate(Timeliness timeliness, long latestStartMillis, double remainingCoreSeconds) {

	/** Up to three objectives after its hand-in a result is late but still of use. */
	private static final int MAX_USEFUL_OBJECTIVES = 3;

	/**
	 * After as many objectives it no longer waits behind newer work: three times as long
	 * as a late result is of use.
	 */
	private static final int STARVATION_OBJECTIVES = 9;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	/**
	 * Works out the outlook of a step.
	 * @param wallMillis milliseconds since 1970
	 * @param queue the queue of its job
	 * @param step the step, whose turn has come
	 * @param dueMillis since when its job could have run
	 * @param eligible the workers that may run it
	 * @return its outlook
	 */
	static DeadlineEstimate of(long wallMillis, JobQueue queue, StepState step, long dueMillis, List<Worker> eligible) {
		long latest = latestStart(queue, step, dueMillis, 1);
		double remaining = step.job().remainingCoreSeconds();
		if (step.spec().longRunning()) {
			return new DeadlineEstimate(Timeliness.IN_TIME, latest, remaining);
		}
		boolean inTime = wallMillis <= latest && fitsInTime(latest - wallMillis, step, eligible);
		Timeliness timeliness = inTime ? Timeliness.IN_TIME : lateness(wallMillis, queue, step, dueMillis);
		return new DeadlineEstimate(timeliness, latest, remaining);
	}

	DeadlineEstimate asIfInTime() {
		return new DeadlineEstimate(Timeliness.IN_TIME, this.latestStartMillis, this.remainingCoreSeconds);
	}

	/**
	 * By when a step has to start for its job to end within some objectives.
	 * @param queue the queue of its job
	 * @param step the step
	 * @param dueMillis since when its job could have run
	 * @param objectives how many objectives
	 * @return milliseconds since 1970
	 */
	static long latestStart(JobQueue queue, StepState step, long dueMillis, int objectives) {
		double objective = queue.criticalPathFactor() * step.job().criticalPathMillis(step.occurrence())
				+ queue.latencyAllowanceMillis();
		return dueMillis + (long) (objectives * objective) - step.criticalPathMillis();
	}

	private static Timeliness lateness(long now, JobQueue queue, StepState step, long dueMillis) {
		if (now <= latestStart(queue, step, dueMillis, MAX_USEFUL_OBJECTIVES)) {
			return Timeliness.LATE;
		}
		return (now <= latestStart(queue, step, dueMillis, STARVATION_OBJECTIVES)) ? Timeliness.EXPIRED
				: Timeliness.STARVED;
	}

	// Tasks of a step that is wider than the fleet run in waves, and the last wave has to
	// start in time.
	private static boolean fitsInTime(long slackMillis, StepState step, List<Worker> eligible) {
		long expected = Math.max(1, step.expectedMillis());
		long waves = 1 + slackMillis / expected;
		return step.unfinishedTaskCount() <= waves * slots(step.spec(), eligible);
	}

	private static long slots(Step step, List<Worker> eligible) {
		long slots = 0;
		for (Worker worker : eligible) {
			slots += slots(step, worker.capacity());
		}
		return slots;
	}

	private static long slots(Step step, ResourceAmount capacity) {
		long slots = capacity.countFitting(step.allocation());
		int maxPerWorker = step.placement().maxPerWorker();
		return (maxPerWorker > 0) ? Math.min(maxPerWorker, slots) : slots;
	}

	/**
	 * The work of some tasks.
	 * @param step their step
	 * @param tasks how many there are
	 * @return core-seconds, an accelerator counting for several cores
	 */
	static double coreSeconds(StepState step, long tasks) {
		return step.spec().demand().coreEquivalents() * tasks * step.expectedMillis() / MILLIS_PER_SECOND;
	}

}
