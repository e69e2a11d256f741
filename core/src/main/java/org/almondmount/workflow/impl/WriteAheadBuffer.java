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
 * Keeps what changed before anything that rests on it takes effect. Mutable; owned by the
 * scheduler.
 * <p>
 * A run that was ordered and is not kept would be unknown to the next holder of the term,
 * which could start the task a second time. So an effect waits until all that changed
 * before it is kept. One transaction is outstanding at a time; what changes meanwhile
 * goes into the next one.
 */
final class WriteAheadBuffer {

	/** Records in one transaction; the store takes a hundred entries in all. */
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
	 * Has something done once all that has changed so far is kept.
	 * @param effect what to do
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
	 * Takes note that a transaction took effect.
	 * @param persisted its sequence
	 */
	void onPersisted(long persisted) {
		if (!this.outstanding || persisted != this.sequence) {
			return;
		}
		this.outstanding = false;
		this.batches.remove().complete();
	}

	/**
	 * Starts the next transaction where none is outstanding.
	 * @param commands where the command goes
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
	 * What one transaction keeps and what rests on it.
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
