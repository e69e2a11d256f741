package org.almondmount.workflow.impl;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.almondmount.workflow.JobPhase;
import org.almondmount.workflow.JobRecord;
import org.almondmount.workflow.WorkflowCommand;

/**
 * Persists changes before effects that depend on them take place. Mutable; owned by the
 * scheduler.
 * <p>
 * A run that was started but not persisted would be unknown to the next holder of the
 * term, which could start the task a second time. An effect is therefore deferred until
 * all changes made before it are persisted. At most one transaction is outstanding;
 * changes that are made meanwhile go into the next one.
 */
final class WriteAheadBuffer {

	/**
	 * Maximum number of records in one transaction; the store takes a hundred entries in
	 * total.
	 */
	static final int MAX_RECORDS = 90;

	private final Set<JobState> dirty = new LinkedHashSet<>();

	private final Deque<Batch> batches = new ArrayDeque<>();

	private List<Runnable> effects = new ArrayList<>();

	private long sequence;

	private boolean outstanding;

	void markChanged(JobState job) {
		this.dirty.add(job);
	}

	/**
	 * Runs an effect once all changes made so far are persisted.
	 * @param effect the effect
	 */
	void afterPersisted(Runnable effect) {
		this.effects.add(effect);
	}

	void clear() {
		this.dirty.clear();
		this.batches.clear();
		this.effects = new ArrayList<>();
		this.outstanding = false;
	}

	/**
	 * Records that a transaction was committed.
	 * @param persisted its sequence number
	 */
	void onPersisted(long persisted) {
		if (!this.outstanding || persisted != this.sequence) {
			return;
		}
		this.outstanding = false;
		this.batches.remove().complete();
	}

	/**
	 * Starts the next transaction if none is outstanding.
	 * @param commands the list to which the command is added
	 */
	void flush(List<WorkflowCommand> commands) {
		if (this.outstanding) {
			return;
		}
		if (this.batches.isEmpty()) {
			createBatches();
		}
		while (!this.batches.isEmpty()) {
			Batch next = this.batches.peek();
			if (!next.records().isEmpty()) {
				this.outstanding = true;
				commands.add(new WorkflowCommand.Persist(++this.sequence, next.records()));
				return;
			}
			this.batches.remove().complete();
			if (this.batches.isEmpty()) {
				createBatches();
			}
		}
	}

	private void createBatches() {
		if (this.dirty.isEmpty() && this.effects.isEmpty()) {
			return;
		}
		Batch batch = new Batch();
		for (JobState job : this.dirty) {
			if (batch.records().size() >= MAX_RECORDS) {
				this.batches.add(batch);
				batch = new Batch();
			}
			batch.add(job);
		}
		batch.effects().addAll(this.effects);
		this.batches.add(batch);
		this.dirty.clear();
		this.effects = new ArrayList<>();
	}

	/**
	 * The records of one transaction and the effects that depend on it.
	 */
	private record Batch(List<JobRecord> records, Map<JobState, JobPhase> phases, List<Runnable> effects) {

		Batch() {
			this(new ArrayList<>(), new LinkedHashMap<>(), new ArrayList<>());
		}

		void add(JobState job) {
			this.records.add(job.toRecord());
			this.phases.put(job, job.phase());
			job.clearUnpersistedWork();
		}

		void complete() {
			this.phases.forEach(JobState::persistedPhase);
			this.effects.forEach(Runnable::run);
		}

	}

}
