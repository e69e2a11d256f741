package org.almondmount.workflow.impl;

import org.almondmount.workflow.RunOutcome;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.WorkOutcome;

/**
 * The kept and the lost work of a run, according to the reports of its worker. Immutable.
 * <p>
 * Times are those at which the holder received the reports, so each figure may be wrong
 * by the interval between two reports. A run that was never reported counts as no work.
 *
 * @param keptCoreSeconds work that is done or checkpointed
 * @param lostCoreSeconds work that has to be repeated, or is of no use to anybody
 * @param waitedCoreSeconds capacity held by a gang member while its gang was incomplete
 * @param cause the reason for the loss of work; {@link WorkOutcome#KEPT} if none was lost
 */
record RunWorkSummary(double keptCoreSeconds, double lostCoreSeconds, double waitedCoreSeconds, WorkOutcome cause) {

	private static final double MILLIS_PER_SECOND = 1_000.0;

	/**
	 * Time to deliver a stop and a start command, in milliseconds; capacity is held
	 * meanwhile.
	 */
	private static final long STOP_START_MILLIS = 200;

	/**
	 * Summarizes the work of a run that has ended.
	 * @param run the run, still open
	 * @param outcome how it ended
	 * @param checkpoint its last checkpoint, or empty
	 * @param now the steady clock
	 * @return its work
	 */
	static RunWorkSummary of(Run run, RunOutcome outcome, String checkpoint, long now) {
		Step step = run.task().step().spec();
		double cores = step.allocation().coreEquivalents();
		double waited = cores * run.waitedMillis(now) / MILLIS_PER_SECOND;
		double worked = cores * run.workedMillis(now) / MILLIS_PER_SECOND;
		if (outcome.done() || run.task().step().done() || step.longRunning()) {
			return new RunWorkSummary(worked, 0, waited, WorkOutcome.KEPT);
		}
		WorkOutcome cause = run.lossCause().orElseGet(() -> causeOf(run, outcome, now));
		boolean workIsUseless = cause == WorkOutcome.CANCELLED || cause == WorkOutcome.JOB_FAILED;
		double checkpointed = (step.savesCheckpoints() && !workIsUseless)
				? cores * run.checkpointedMillis(checkpoint, now) / MILLIS_PER_SECOND : 0;
		return new RunWorkSummary(checkpointed, worked - checkpointed, waited, cause);
	}

	/**
	 * Estimates the work that would be lost if a run was stopped now. A task that saves
	 * its progress does so when it is stopped, and loses only the time that it takes to
	 * resume.
	 * @param run the run
	 * @param now the steady clock
	 * @param restoreMillis the time that a task takes to resume from a checkpoint
	 * @return core-seconds
	 */
	static double lossIfStopped(Run run, long now, long restoreMillis) {
		Step step = run.task().step().spec();
		double millis = step.savesCheckpoints() ? restoreMillis : run.workedMillis(now) + STOP_START_MILLIS;
		return step.allocation().coreEquivalents() * (run.running() ? millis : STOP_START_MILLIS) / MILLIS_PER_SECOND;
	}

	private static WorkOutcome causeOf(Run run, RunOutcome outcome, long now) {
		return switch (outcome) {
			case FAILED -> WorkOutcome.FAILED_TRY;
			case LAPSED -> WorkOutcome.LEASE_LAPSED;
			case ALONE -> WorkOutcome.GANG_WAITED;
			case BROKEN -> causeOfBrokenGang(run, now);
			case DONE, STOPPED, LOST -> WorkOutcome.UNSETTLED;
		};
	}

	// The surviving members often report before the member that ended: its worker is
	// draining or has gone silent.
	private static WorkOutcome causeOfBrokenGang(Run run, long now) {
		for (TaskState task : run.task().step().tasks()) {
			for (Run member : task.openRuns()) {
				if (member.worker().draining()) {
					return WorkOutcome.WORKER_LEFT;
				}
				if (member != run && now - member.worker().lastContactMillis() > Worker.SILENCE_LIMIT_MILLIS) {
					return WorkOutcome.WORKER_LOST;
				}
			}
		}
		return WorkOutcome.GANG_BROKEN;
	}

}
