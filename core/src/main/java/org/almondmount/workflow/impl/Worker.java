package org.almondmount.workflow.impl;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;
import org.almondmount.workflow.health.EarlyAge;
import org.almondmount.workflow.speed.WorkerSpeed;

/**
 * One incarnation of a worker, with the runs that may be running there. Mutable; owned by
 * the scheduler.
 */
final class Worker {

	/**
	 * Silence after which a worker is probably gone, in milliseconds: two of its
	 * heartbeats are missing.
	 */
	static final long SILENCE_LIMIT_MILLIS = 2_000;

	/**
	 * Time in milliseconds from a start command until the run works and a report says so.
	 */
	private static final long START_SLACK_MILLIS = 1_000;

	private final String target;

	private final WorkerIncarnation incarnation;

	private final Set<Run> runs = new LinkedHashSet<>();

	/** Runs of suspects that are still young enough to crash the worker. */
	private final Set<Run> probation = new LinkedHashSet<>();

	private final WorkerHealth health = new WorkerHealth();

	private final WorkerSpeed speed = new WorkerSpeed();

	private Optional<WorkerDescription> description = Optional.empty();

	private String rack = "";

	private ResourceAmount capacity = ResourceAmount.NONE;

	private ResourceAmount used = ResourceAmount.NONE;

	/**
	 * Cached difference between {@link #capacity} and {@link #used}, because each
	 * placement attempt reads it.
	 */
	private ResourceAmount free = ResourceAmount.NONE;

	private long lastContactMillis;

	private long availableUntilMillis;

	private long lastSeenEnd;

	/** The last end that is persisted, so that the worker may forget it. */
	private long lastPersistedEnd;

	private long epoch;

	private boolean lapsed;

	Worker(String target, WorkerIncarnation incarnation, long contactMillis) {
		this.target = target;
		this.incarnation = incarnation;
		this.lastContactMillis = contactMillis;
	}

	String target() {
		return this.target;
	}

	WorkerIncarnation incarnation() {
		return this.incarnation;
	}

	Optional<WorkerDescription> description() {
		return this.description;
	}

	void describe(long now, WorkerDescription reported) {
		this.description = Optional.of(reported);
		this.rack = reported.rack();
		this.capacity = reported.capacity();
		this.free = this.capacity.minus(this.used);
		if (reported.draining()) {
			this.availableUntilMillis = Math.max(this.availableUntilMillis, now + reported.remainingMillis());
		}
	}

	/**
	 * Returns the time until which a draining worker is certainly available.
	 * @return a time of the steady clock
	 */
	long availableUntilMillis() {
		return this.availableUntilMillis;
	}

	String pool() {
		return this.description.map(WorkerDescription::pool).orElse("");
	}

	String rack() {
		return this.rack;
	}

	String zone() {
		return this.description.map(WorkerDescription::zone).orElse("");
	}

	boolean draining() {
		return this.description.map(WorkerDescription::draining).orElse(false);
	}

	ResourceAmount capacity() {
		return this.capacity;
	}

	ResourceAmount free() {
		return this.free;
	}

	Set<Run> runs() {
		return this.runs;
	}

	void add(Run run) {
		if (this.runs.add(run)) {
			updateUsed(this.used.plus(run.allocation()));
		}
	}

	void remove(Run run) {
		if (this.runs.remove(run)) {
			updateUsed(this.used.minus(run.allocation()));
			this.probation.remove(run);
		}
	}

	/**
	 * Whether a run that may still fail right after its start probes this worker.
	 * @param now the steady clock
	 * @return whether the worker is probed, and a run there is young, or was started so
	 * lately that it may be
	 */
	boolean probeRuns(long now) {
		return this.health.probed(now) && this.runs.stream().anyMatch((run) -> isYoung(run, now));
	}

	// A run that waits, for its gang or for a lost start command, may never begin to
	// work.
	private static boolean isYoung(Run run, long now) {
		long earlyMillis = EarlyAge.millis(run.task().step().expectedMillis());
		return !run.stopping() && run.workedMillis(now) <= earlyMillis
				&& run.isStartedWithin(now, earlyMillis + START_SLACK_MILLIS);
	}

	/**
	 * Puts a run of a suspect on probation. While it lasts, no tasks of other steps are
	 * started on this worker, except guaranteed ones.
	 * @param run the run of a suspect
	 */
	void beginProbation(Run run) {
		this.probation.add(run);
	}

	/**
	 * Ends the probation of a run that has passed the age at which it might crash the
	 * worker.
	 * @param run the run
	 */
	void endProbation(Run run) {
		this.probation.remove(run);
	}

	/**
	 * Whether a task of another step may soon crash this worker.
	 * @param step the step to place
	 * @return whether a suspect of another step is on probation here
	 */
	boolean endangersOtherSteps(StepState step) {
		return !this.probation.isEmpty() && this.probation.stream().anyMatch((run) -> run.task().step() != step);
	}

	boolean runsOtherStep(StepState step) {
		return this.runs.stream().anyMatch((run) -> run.task().step() != step);
	}

	private void updateUsed(ResourceAmount next) {
		this.used = next;
		this.free = this.capacity.minus(next);
	}

	WorkerHealth health() {
		return this.health;
	}

	WorkerSpeed speed() {
		return this.speed;
	}

	long lastContactMillis() {
		return this.lastContactMillis;
	}

	void recordContact(long now) {
		this.lastContactMillis = now;
		this.lapsed = false;
	}

	boolean lapsed() {
		return this.lapsed;
	}

	void lapse() {
		this.lapsed = true;
	}

	long lastSeenEnd() {
		return this.lastSeenEnd;
	}

	void lastSeenEnd(long number) {
		this.lastSeenEnd = Math.max(this.lastSeenEnd, number);
	}

	long lastPersistedEnd() {
		return this.lastPersistedEnd;
	}

	void lastPersistedEnd(long number) {
		this.lastPersistedEnd = Math.max(this.lastPersistedEnd, number);
	}

	long epoch() {
		return this.epoch;
	}

	void raiseEpoch(long reported) {
		this.epoch = Math.max(this.epoch, reported);
	}

}
