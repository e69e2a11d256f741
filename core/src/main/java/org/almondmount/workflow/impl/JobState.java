package org.almondmount.workflow.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.workflow.FleetConfiguration;
import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobRecord;
import org.almondmount.workflow.JobRecord.StepKey;
import org.almondmount.workflow.JobRecord.TaskRecord;
import org.almondmount.workflow.QueueDeclaration;
import org.almondmount.workflow.Workflow;

/**
 * The state of a job. Mutable; owned by the scheduler.
 */
final class JobState {

	/**
	 * Maximum number of failed attempts in the stored record of a job. The row of a job
	 * with the maximum number of tasks has little space left; attempts beyond the limit
	 * are known to this holder only.
	 */
	private static final int MAX_STORED_ATTEMPTS = 200;

	private final Workflow workflow;

	private final Map<StepKey, StepState> steps = new LinkedHashMap<>();

	private JobPhase phase = JobPhase.QUEUED;

	private JobPhase persistedPhase = JobPhase.QUEUED;

	private double unpersistedCoreSeconds;

	private Optional<QueueDeclaration> declaration;

	JobState(Workflow workflow) {
		this.workflow = workflow;
		this.declaration = workflow.declaration();
		for (int occurrence = 0; occurrence < workflow.schedule().occurrences(); occurrence++) {
			for (int number = 0; number < workflow.steps().size(); number++) {
				StepKey key = new StepKey(occurrence, number);
				this.steps.put(key, new StepState(this, key, workflow.steps().get(number)));
			}
		}
		updateEstimates(new RunTimeEstimator());
	}

	Workflow workflow() {
		return this.workflow;
	}

	String id() {
		return this.workflow.id();
	}

	Collection<StepState> steps() {
		return this.steps.values();
	}

	StepState step(int occurrence, int number) {
		return this.steps.get(new StepKey(occurrence, number));
	}

	JobPhase phase() {
		return this.phase;
	}

	void phase(JobPhase next) {
		this.phase = next;
	}

	JobPhase persistedPhase() {
		return this.persistedPhase;
	}

	void persistedPhase(JobPhase persisted) {
		this.persistedPhase = persisted;
	}

	boolean over() {
		return this.phase.isTerminal();
	}

	/**
	 * Returns the latest known declaration of the job's queue, which may not be in force
	 * any more.
	 * @return the declaration, or empty if none is known
	 */
	Optional<QueueDeclaration> declaration() {
		return this.declaration;
	}

	/**
	 * Whether the latest known declaration differs from the one that is stored with the
	 * job.
	 * @return whether only the progress of the job can store it
	 */
	boolean hasLaterDeclaration() {
		return !this.declaration.equals(this.workflow.declaration());
	}

	/**
	 * Adopts the declaration of the job's queue, unless a later one is known.
	 * @param configuration the configuration in force
	 * @return whether it replaced a declaration of different content
	 */
	boolean adoptDeclaration(FleetConfiguration configuration) {
		Optional<QueueDeclaration> declared = configuration.declaration(this.workflow.queue());
		if (declared.isEmpty()) {
			return false;
		}
		if (this.declaration.isEmpty()) {
			this.declaration = declared;
			return false;
		}
		QueueDeclaration known = this.declaration.get();
		if (declared.get().revision() < known.revision() || declared.get().queue().equals(known.queue())) {
			return false;
		}
		this.declaration = declared;
		return true;
	}

	/**
	 * Returns the work in checkpoints that are not yet persisted.
	 * @return core-seconds since the last persisted checkpoints
	 */
	double unpersistedCoreSeconds() {
		return this.unpersistedCoreSeconds;
	}

	void addCheckpointedWork(double coreSeconds) {
		this.unpersistedCoreSeconds += coreSeconds;
	}

	/**
	 * Resets the unpersisted work, because the next transaction writes the complete state
	 * of the job.
	 */
	void clearUnpersistedWork() {
		this.unpersistedCoreSeconds = 0;
	}

	/**
	 * Whether all steps that a step depends on are done.
	 * @param step the step
	 * @return whether the step may start
	 */
	boolean predecessorsDone(StepState step) {
		for (int predecessor : step.spec().dependencies()) {
			if (!step(step.occurrence(), predecessor).done()) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Updates the run time estimates of the steps.
	 * @param estimator the run times learnt from ended tasks
	 */
	void updateEstimates(RunTimeEstimator estimator) {
		Map<StepKey, Long> followerPathMillis = new HashMap<>();
		List<StepState> reversedSteps = new ArrayList<>(this.steps.values());
		Collections.reverse(reversedSteps);
		for (StepState step : reversedSteps) {
			step.updateEstimate(estimator, followerPathMillis.getOrDefault(step.key(), 0L));
			for (int predecessor : step.spec().dependencies()) {
				followerPathMillis.merge(new StepKey(step.occurrence(), predecessor), step.criticalPathMillis(),
						Math::max);
			}
		}
	}

	/**
	 * Returns the estimated length of the critical path of an occurrence.
	 * @param occurrence the occurrence
	 * @return milliseconds
	 */
	long criticalPathMillis(int occurrence) {
		long longest = 0;
		for (int number = 0; number < this.workflow.steps().size(); number++) {
			longest = Math.max(longest, step(occurrence, number).criticalPathMillis());
		}
		return longest;
	}

	double remainingCoreSeconds() {
		double sum = 0;
		for (StepState step : this.steps.values()) {
			sum += DeadlineEstimate.coreSeconds(step, step.unfinishedTaskCount());
		}
		return sum;
	}

	int taskCount() {
		return this.steps.values().stream().mapToInt((step) -> step.tasks().size()).sum();
	}

	boolean allDone() {
		return this.steps.values().stream().allMatch(StepState::done);
	}

	List<Run> openRuns() {
		List<Run> runs = new ArrayList<>();
		for (StepState step : this.steps.values()) {
			for (TaskState task : step.tasks()) {
				runs.addAll(task.openRuns());
			}
		}
		return runs;
	}

	JobRecord toRecord() {
		List<StepKey> doneSteps = new ArrayList<>();
		List<TaskRecord> tasks = new ArrayList<>();
		int attemptsLeft = MAX_STORED_ATTEMPTS;
		for (StepState step : this.steps.values()) {
			if (step.done()) {
				doneSteps.add(step.key());
			}
			for (TaskState task : step.tasks()) {
				if (!task.idle() || (!step.done() && task.hasRun())) {
					TaskRecord stored = task.toRecord(attemptsLeft);
					attemptsLeft -= stored.failedAttempts().size();
					tasks.add(stored);
				}
			}
		}
		Optional<QueueDeclaration> laterDeclaration = hasLaterDeclaration() ? this.declaration : Optional.empty();
		return new JobRecord(id(), this.phase, doneSteps, tasks, laterDeclaration);
	}

	/**
	 * Restores the persisted state; open runs are left to the caller.
	 * @param persisted the record
	 */
	void restore(JobRecord persisted) {
		this.phase = persisted.phase();
		this.persistedPhase = persisted.phase();
		persisted.declaration().ifPresent((later) -> this.declaration = Optional.of(later));
		for (TaskRecord task : persisted.tasks()) {
			StepState step = this.steps.get(task.step());
			if (step != null && task.index() < step.tasks().size()) {
				step.tasks().get(task.index()).restore(task);
			}
		}
		for (StepKey key : persisted.doneSteps()) {
			StepState step = this.steps.get(key);
			if (step != null) {
				step.restoreDone();
			}
		}
	}

}
