package org.almondmount.workflow.impl;

import java.util.List;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.Step;

/**
 * Whether a waiting step can still meet its job's latency objective, according to the
 * estimated run time of the job. Immutable.
 * <p>
 * This matters in bursts of urgent jobs of which some need more workers than the fleet
 * has. If jobs were ordered by latest start alone, a job that can no longer be in time
 * would take the workers that the next job needs to be in time, and both would be late.
 *
 * @param timeliness the benefit of placing the step now
 * @param latestStartMillis the latest start for the job to be in time, in milliseconds
 * since 1970
 * @param remainingCoreSeconds the remaining work of its job
 */
record DeadlineEstimate(Timeliness timeliness, long latestStartMillis, double remainingCoreSeconds) {

	/**
	 * A late result is still useful up to this multiple of the objective after the
	 * submission.
	 */
	private static final int MAX_USEFUL_OBJECTIVES = 3;

	/**
	 * Multiple of the objective after which a job no longer waits behind newer work:
	 * three times as long as a late result is useful.
	 */
	private static final int STARVATION_OBJECTIVES = 9;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	/**
	 * Estimates the timeliness of a step.
	 * @param wallMillis milliseconds since 1970
	 * @param queue the queue of its job
	 * @param step the step, whose predecessors are done
	 * @param dueMillis the time from which its job could run
	 * @param eligible the workers that may run it
	 * @return the estimate
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
	 * Returns the latest start of a step for its job to end within a multiple of its
	 * objective.
	 * @param queue the queue of its job
	 * @param step the step
	 * @param dueMillis the time from which its job could run
	 * @param objectives the multiple of the objective
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

	// If a step has more tasks than the fleet can run at once, the tasks run in waves,
	// and the last wave has to start in time.
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
	 * Returns the estimated work of a number of tasks of a step.
	 * @param step the step
	 * @param tasks the number of tasks
	 * @return core-seconds, where an accelerator counts as several cores
	 */
	static double coreSeconds(StepState step, long tasks) {
		return step.spec().demand().coreEquivalents() * tasks * step.expectedMillis() / MILLIS_PER_SECOND;
	}

}
