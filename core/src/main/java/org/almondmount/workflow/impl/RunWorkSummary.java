package org.almondmount.workflow.impl;

import org.almondmount.workflow.RunOutcome;
import org.almondmount.workflow.Step;
import org.almondmount.workflow.WorkOutcome;

/**
 * How much of a run's work is kept and how much is lost, by what its worker told of it.
 * Immutable.
 * <p>
 * Times are those at which the holder heard, so each figure may be off by the time
 * between two reports. Of a run that was never heard of nothing is counted.
 *
 * @param keptCoreSeconds work that is done or saved
 * @param lostCoreSeconds work that has to be done again, or is of no use to anybody
 * @param waitedCoreSeconds room held by a member of a gang that was not yet whole
 * @param cause why work was lost; {@link WorkOutcome#KEPT} where it was not
 */
record RunWorkSummary(double keptCoreSeconds, double lostCoreSeconds, double waitedCoreSeconds, WorkOutcome cause) {

	private static final double MILLIS_PER_SECOND = 1_000.0;

	/** Two orders and their way, in milliseconds; room is held meanwhile. */
	private static final long STOP_START_MILLIS = 200;

	/**
	 * Accounts for a run that is over.
	 * @param run the run, still open
	 * @param ending how it ended
	 * @param checkpoint its last checkpoint, or empty
	 * @param now the steady clock
	 * @return its work
	 */
	static RunWorkSummary of(Run run, RunOutcome ending, String checkpoint, long now) {
		Step step = run.task().step().spec();
		double cores = step.allocation().coreEquivalents();
		double waited = cores * run.waitedMillis(now) / MILLIS_PER_SECOND;
		double worked = cores * run.workedMillis(now) / MILLIS_PER_SECOND;
		if (ending.done() || run.task().step().done() || step.longRunning()) {
			return new RunWorkSummary(worked, 0, waited, WorkOutcome.KEPT);
		}
		WorkOutcome cause = run.lossCause().orElseGet(() -> causeOf(run, ending, now));
		boolean workIsUseless = cause == WorkOutcome.CANCELLED || cause == WorkOutcome.JOB_FAILED;
		double checkpointed = (step.savesCheckpoints() && !workIsUseless)
				? cores * run.checkpointedMillis(checkpoint, now) / MILLIS_PER_SECOND : 0;
		return new RunWorkSummary(checkpointed, worked - checkpointed, waited, cause);
	}

	/**
	 * How much work would be lost if a run was stopped now. A task that saves its
	 * progress does so when it is stopped, and loses the time that it takes to go on from
	 * there.
	 * @param run the run
	 * @param now the steady clock
	 * @param restoreMillis how long a task takes to go on from a checkpoint
	 * @return core-seconds
	 */
	static double lossIfStopped(Run run, long now, long restoreMillis) {
		Step step = run.task().step().spec();
		double millis = step.savesCheckpoints() ? restoreMillis : run.workedMillis(now) + STOP_START_MILLIS;
		return step.allocation().coreEquivalents() * (run.running() ? millis : STOP_START_MILLIS) / MILLIS_PER_SECOND;
	}

	private static WorkOutcome causeOf(Run run, RunOutcome ending, long now) {
		return switch (ending) {
			case FAILED -> WorkOutcome.FAILED_TRY;
			case LAPSED -> WorkOutcome.LEASE_LAPSED;
			case ALONE -> WorkOutcome.GANG_WAITED;
			case BROKEN -> causeOfBrokenGang(run, now);
			case DONE, STOPPED, LOST -> WorkOutcome.UNSETTLED;
		};
	}

	// The members that live are often heard before the one that ended: its worker is
	// leaving, or silent since.
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
