package org.almondmount.workflow.impl;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.WorkerDescription;
import org.almondmount.workflow.WorkerIncarnation;

/**
 * One life of a worker, with the runs that may be at work there. Mutable; owned by the
 * scheduler.
 */
final class Worker {

	/**
	 * A worker that was not heard of for so long is probably gone, in milliseconds: two
	 * of its heartbeats are missing.
	 */
	static final long SILENT_MILLIS = 2_000;

	private final String target;

	private final WorkerIncarnation life;

	private final Set<Run> runs = new LinkedHashSet<>();

	/** Runs of suspects that are still young enough to crash it. */
	private final Set<Run> probation = new LinkedHashSet<>();

	private final WorkerHealth health = new WorkerHealth();

	private Optional<WorkerDescription> description = Optional.empty();

	private String rack = "";

	private ResourceAmount capacity = ResourceAmount.NONE;

	private ResourceAmount used = ResourceAmount.NONE;

	/** Kept beside the two that it follows from: placing asks for it at each look. */
	private ResourceAmount free = ResourceAmount.NONE;

	private long lastHeardMillis;

	private long leavesMillis;

	private long seenEnd;

	/** The last end that is kept, so that the worker may forget it. */
	private long keptEnd;

	private long epoch;

	private boolean lapsed;

	Worker(String target, WorkerIncarnation life, long heardMillis) {
		this.target = target;
		this.life = life;
		this.lastHeardMillis = heardMillis;
	}

	String target() {
		return this.target;
	}

	WorkerIncarnation life() {
		return this.life;
	}

	Optional<WorkerDescription> description() {
		return this.description;
	}

	void describe(long now, WorkerDescription said) {
		this.description = Optional.of(said);
		this.rack = said.rack();
		this.capacity = said.capacity();
		this.free = this.capacity.minus(this.used);
		if (said.draining()) {
			this.leavesMillis = Math.max(this.leavesMillis, now + said.remainingMillis());
		}
	}

	/**
	 * Until when a worker that drains is surely there.
	 * @return a time of the steady clock
	 */
	long leavesMillis() {
		return this.leavesMillis;
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
			uses(this.used.plus(run.room()));
		}
	}

	void remove(Run run) {
		if (this.runs.remove(run)) {
			uses(this.used.minus(run.room()));
			this.probation.remove(run);
		}
	}

	/**
	 * Nothing of another step is begun beside a run, as long as it is on probation.
	 * @param run the run of a suspect
	 */
	void beginProbation(Run run) {
		this.probation.add(run);
	}

	/**
	 * A run of a suspect has outlived the age at which it might crash the worker.
	 * @param run the run
	 */
	void endProbation(Run run) {
		this.probation.remove(run);
	}

	/**
	 * Whether a task of another step may crash it soon.
	 * @param step the step
	 * @return whether a suspect is on probation here
	 */
	boolean endangers(StepState step) {
		return !this.probation.isEmpty() && this.probation.stream().anyMatch((run) -> run.task().step() != step);
	}

	boolean runsOtherThan(StepState step) {
		return this.runs.stream().anyMatch((run) -> run.task().step() != step);
	}

	private void uses(ResourceAmount next) {
		this.used = next;
		this.free = this.capacity.minus(next);
	}

	WorkerHealth health() {
		return this.health;
	}

	long lastHeardMillis() {
		return this.lastHeardMillis;
	}

	void heard(long now) {
		this.lastHeardMillis = now;
		this.lapsed = false;
	}

	boolean lapsed() {
		return this.lapsed;
	}

	void lapse() {
		this.lapsed = true;
	}

	long seenEnd() {
		return this.seenEnd;
	}

	void seenEnd(long number) {
		this.seenEnd = Math.max(this.seenEnd, number);
	}

	long keptEnd() {
		return this.keptEnd;
	}

	void keptEnd(long number) {
		this.keptEnd = Math.max(this.keptEnd, number);
	}

	long epoch() {
		return this.epoch;
	}

	void obeys(long highest) {
		this.epoch = Math.max(this.epoch, highest);
	}

}
