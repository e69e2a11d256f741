package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.workflow.JobQueue;
import org.almondmount.workflow.SchedulerFeature;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.Workflow;

/**
 * Finds the units that wait for workers and determines the order in which they are
 * placed. Owned by the scheduler.
 */
final class PendingUnits {

	/**
	 * Guaranteed work comes first, and work that is of no more use comes last. In
	 * between, units are ordered by the priority of their queue; within a queue, units
	 * that can be in time come first. Units that this order treats alike form a group.
	 */
	static final Comparator<WorkUnit> GROUP_ORDER = Comparator.comparing((WorkUnit unit) -> !unit.guaranteed())
		.thenComparing((unit) -> unit.deadline().timeliness().waitsBehindAll())
		.thenComparingInt((unit) -> unit.queue().priority())
		.thenComparing((unit) -> !unit.deadline().timeliness().earliestFirst());

	/** Within a group, the unit with the earliest latest start or the least work. */
	private static final Comparator<WorkUnit> ORDER = GROUP_ORDER.thenComparingDouble(PendingUnits::rankWithinQueue);

	private final SchedulerState state;

	private final RetryPlanner retryPlanner;

	private GuaranteedJobs guaranteed = GuaranteedJobs.NONE;

	/** Workers by pool and required label, cached for the current round. */
	private final Map<List<String>, List<Worker>> eligible = new HashMap<>();

	PendingUnits(SchedulerState state, RetryPlanner retryPlanner) {
		this.state = state;
		this.retryPlanner = retryPlanner;
	}

	/**
	 * Returns the units that could start now if capacity were available.
	 * @return the units in the order in which they are placed
	 */
	List<WorkUnit> inPlacementOrder() {
		this.guaranteed = GuaranteedJobs.of(this.state);
		this.eligible.clear();
		List<WorkUnit> units = new ArrayList<>();
		for (JobState job : this.state.jobs().values()) {
			Optional<JobQueue> queue = this.state.queueOf(job);
			if (job.over() || queue.isEmpty()) {
				continue;
			}
			if (job.steps().stream().noneMatch(StepState::hasStartableTask)) {
				continue;
			}
			job.updateEstimates(this.state.runTimeEstimator());
			for (StepState step : job.steps()) {
				if (!step.done() && isDue(step) && job.predecessorsDone(step) && step.hasStartableTask()) {
					addUnits(units, queue.get(), step, isGuaranteed(job));
				}
			}
		}
		units.sort(ORDER);
		return units;
	}

	/**
	 * Whether a job was covered by its customer's guarantee when the order was last
	 * determined.
	 * @param job the job
	 * @return whether it was covered
	 */
	boolean isGuaranteed(JobState job) {
		return this.guaranteed.contains(job);
	}

	private static double rankWithinQueue(WorkUnit unit) {
		DeadlineEstimate deadline = unit.deadline();
		return deadline.timeliness().earliestFirst() ? deadline.latestStartMillis() : deadline.remainingCoreSeconds();
	}

	private boolean isDue(StepState step) {
		long due = step.job().workflow().schedule().dueAtMillis(step.occurrence());
		return due <= this.state.wallMillis() && step.notBeforeMillis() <= this.state.steadyMillis();
	}

	private void addUnits(List<WorkUnit> units, JobQueue queue, StepState step, boolean guaranteed) {
		String label = step.spec().placement().requiredLabel();
		List<Worker> eligible = this.eligible.computeIfAbsent(List.of(queue.pool(), label),
				(key) -> eligible(queue.pool(), label));
		if (eligible.isEmpty()) {
			return;
		}
		DeadlineEstimate deadline = DeadlineEstimate.of(this.state.wallMillis(), queue, step, dueMillis(step),
				eligible);
		if (!this.state.has(SchedulerFeature.LATE_WAITS_BEHIND)) {
			deadline = deadline.asIfInTime();
		}
		if (step.spec().gangScheduled()) {
			if (step.allIdle()) {
				WorkUnit gang = new WorkUnit(queue, step, step.tasks(), eligible, deadline, guaranteed,
						isolation(step.tasks()));
				this.retryPlanner.forgetUnusedAttempts(gang);
				units.add(gang);
			}
			return;
		}
		for (TaskState task : step.tasks()) {
			if (task.idle() && !task.done()) {
				List<TaskState> tasks = List.of(task);
				WorkUnit single = new WorkUnit(queue, step, tasks, eligible, deadline, guaranteed, isolation(tasks));
				this.retryPlanner.forgetUnusedAttempts(single);
				units.add(single);
			}
		}
	}

	private IsolationLevel isolation(List<TaskState> tasks) {
		IsolationLevel isolation = IsolationLevel.NONE;
		if (!this.state.has(SchedulerFeature.SET_SUSPECTS_APART)) {
			return isolation;
		}
		for (TaskState task : tasks) {
			if (!task.crashes().isEmpty()) {
				isolation = isolation.stricterOf(task.crashes().isolation(this.state.steadyMillis()));
			}
		}
		return isolation;
	}

	/**
	 * Returns the time from which the job of a step could run.
	 * @param step the step
	 * @return milliseconds since 1970
	 */
	static long dueMillis(StepState step) {
		Workflow workflow = step.job().workflow();
		return Math.max(workflow.acceptedAtMillis(), workflow.schedule().dueAtMillis(step.occurrence()));
	}

	private List<Worker> eligible(String pool, String label) {
		List<Worker> eligible = new ArrayList<>();
		for (Worker worker : this.state.workers().values()) {
			if (!this.state.canStartOn(worker)) {
				continue;
			}
			WorkerDescription description = worker.description().orElseThrow();
			if (description.pool().equals(pool) && (label.isEmpty() || description.labels().contains(label))) {
				eligible.add(worker);
			}
		}
		return eligible;
	}

}
