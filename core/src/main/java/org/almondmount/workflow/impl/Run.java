package org.almondmount.workflow.impl;

import java.util.Optional;
import java.util.OptionalLong;

import org.almondmount.workflow.JobRecord.OpenRun;
import org.almondmount.workflow.ResourceAmount;
import org.almondmount.workflow.WorkOutcome;
import org.almondmount.workflow.WorkerIncarnation;

/**
 * One run of a task that may be running on a worker. Mutable; owned by the scheduler.
 */
final class Run {

	private static final int MAX_PERCENT = 100;

	/** Minimum progress from which a speed is calculated. */
	private static final int MIN_PROGRESS_PERCENT = 5;

	/**
	 * Minimum time between the reports from which the speed of a worker is learnt, in
	 * milliseconds; the times of the reports are known only to within a part of their
	 * interval.
	 */
	private static final long MIN_SPEED_SAMPLE_MILLIS = 1_000;

	/** Part of the expected run time at which the speed of a worker is learnt. */
	private static final double SPEED_SAMPLE_SHARE = 0.3;

	private static final long NOT_SET = Long.MIN_VALUE;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private final TaskState task;

	private final int number;

	private Worker worker;

	/**
	 * The incarnation of the worker in which the run may have started; {@link #worker}
	 * may be a later incarnation.
	 */
	private WorkerIncarnation startIncarnation;

	private final long epoch;

	/** Whether the run resumes from a checkpoint. */
	private final boolean resumedFromCheckpoint;

	/** The capacity of the worker at the time of the placement. */
	private final ResourceAmount placementCapacity;

	private State state;

	/** Whether the start of the run was observed in this term. */
	private boolean startObserved;

	private boolean stopping;

	private long lastCommandMillis;

	/** Time at which the start command was first sent in this term. */
	private long startCommandMillis = NOT_SET;

	private long startedMillis;

	private long lastReportMillis;

	private long lastProgressMillis;

	private int progressPercent;

	private int firstProgressPercent;

	/**
	 * Start of the actual work: the members of a gang start working once all of them are
	 * running.
	 */
	private long workStartedMillis = NOT_SET;

	/** Time at which the last checkpoint was reported. */
	private long lastCheckpointMillis = NOT_SET;

	private String lastCheckpoint;

	private boolean speedSampled;

	private Optional<WorkOutcome> lossCause = Optional.empty();

	private Optional<WorkerIncarnation> lostIncarnation = Optional.empty();

	Run(TaskState task, int number, Worker worker, long epoch, State state) {
		this.task = task;
		this.number = number;
		this.worker = worker;
		this.startIncarnation = worker.incarnation();
		this.epoch = epoch;
		this.state = state;
		this.resumedFromCheckpoint = !task.checkpoint().isEmpty();
		this.lastCheckpoint = task.checkpoint();
		this.placementCapacity = worker.capacity();
	}

	/**
	 * Takes over a run that was started in an earlier term.
	 * @param task the task
	 * @param persisted the persisted state of the run
	 * @param worker the latest known incarnation of its worker
	 * @return the run
	 */
	static Run inherited(TaskState task, OpenRun persisted, Worker worker) {
		Run run = new Run(task, persisted.number(), worker, persisted.epoch(), State.INHERITED);
		run.startIncarnation = persisted.incarnation();
		if (!persisted.incarnation().equals(worker.incarnation())) {
			run.markWorkerEnded();
		}
		return run;
	}

	TaskState task() {
		return this.task;
	}

	int number() {
		return this.number;
	}

	Worker worker() {
		return this.worker;
	}

	long epoch() {
		return this.epoch;
	}

	/**
	 * Records that the worker has ended. A run that was started in this term and has not
	 * been reported since has most probably not begun, because its worker was gone
	 * already.
	 */
	void markWorkerEnded() {
		if (this.state == State.RUNNING || this.state == State.INHERITED) {
			this.lostIncarnation = Optional.of(this.startIncarnation);
		}
	}

	/**
	 * Returns the incarnation of the worker with which the run may have ended.
	 * @return the incarnation, or empty if the run ended otherwise
	 */
	Optional<WorkerIncarnation> lostIncarnation() {
		return this.lostIncarnation;
	}

	/**
	 * Moves the run to a later incarnation of its worker, in which it may still start. A
	 * run that may have started before keeps its previous incarnation, so that a crash of
	 * that incarnation can be attributed to it.
	 * @param later the later incarnation
	 */
	void moveTo(Worker later) {
		markWorkerEnded();
		if (this.lostIncarnation.isEmpty()) {
			this.startIncarnation = later.incarnation();
		}
		this.worker.remove(this);
		this.worker = later;
		this.state = State.INHERITED;
		later.add(this);
	}

	ResourceAmount allocation() {
		return this.task.step().spec().allocation();
	}

	ResourceAmount placementCapacity() {
		return this.placementCapacity;
	}

	State state() {
		return this.state;
	}

	boolean stopping() {
		return this.stopping;
	}

	/**
	 * Marks the run as stopping; a second call has no effect.
	 * @param cause the reason for the loss of its work
	 */
	void markStopping(WorkOutcome cause) {
		this.stopping = true;
		recordLossCause(cause);
	}

	/**
	 * Records the reason for the loss of its work; only the first reason counts.
	 * @param cause the reason
	 */
	void recordLossCause(WorkOutcome cause) {
		if (this.lossCause.isEmpty()) {
			this.lossCause = Optional.of(cause);
		}
	}

	Optional<WorkOutcome> lossCause() {
		return this.lossCause;
	}

	long lastCommandMillis() {
		return this.lastCommandMillis;
	}

	void startSent(long now) {
		this.lastCommandMillis = now;
		if (this.state == State.PERSISTING) {
			this.state = State.START_SENT;
			this.startCommandMillis = now;
		}
	}

	/**
	 * Whether the start command is held back or was first sent not long ago, however
	 * often it was repeated.
	 * @param now the steady clock
	 * @param maxMillis the maximum age of the command in milliseconds
	 * @return whether the run was started so lately in this term
	 */
	boolean isStartedWithin(long now, long maxMillis) {
		return this.state == State.PERSISTING
				|| (this.startCommandMillis != NOT_SET && now - this.startCommandMillis <= maxMillis);
	}

	void stopSent(long now) {
		this.lastCommandMillis = now;
	}

	void recordProgress(long now, int progress) {
		if (this.state != State.RUNNING) {
			this.startObserved = this.state == State.START_SENT;
			this.state = State.RUNNING;
			this.startedMillis = now;
			this.lastProgressMillis = now;
			this.firstProgressPercent = progress;
		}
		if (progress != this.progressPercent) {
			this.lastProgressMillis = now;
		}
		this.progressPercent = progress;
		this.lastReportMillis = now;
	}

	/**
	 * Records that everything the run needs for its work is available.
	 * @param now the steady clock
	 */
	void markWorking(long now) {
		if (this.workStartedMillis == NOT_SET) {
			this.workStartedMillis = now;
		}
	}

	/**
	 * Records a checkpoint.
	 * @param checkpoint the checkpoint, or empty
	 * @param minMillis the minimum amount of work in a checkpoint: the first reported
	 * checkpoint may contain any amount
	 */
	void recordCheckpoint(String checkpoint, long minMillis) {
		if (checkpoint.isEmpty() || checkpoint.equals(this.lastCheckpoint)) {
			return;
		}
		long since = Math.max(this.startedMillis, this.lastCheckpointMillis);
		long millis = Math.max(minMillis, this.lastReportMillis - since);
		this.lastCheckpoint = checkpoint;
		this.lastCheckpointMillis = this.lastReportMillis;
		this.task.step().job().addCheckpointedWork(allocation().coreEquivalents() * millis / MILLIS_PER_SECOND);
	}

	/**
	 * Returns how long the run held its allocation without being able to work.
	 * @param now the steady clock
	 * @return milliseconds
	 */
	long waitedMillis(long now) {
		if (!running()) {
			return 0;
		}
		return ((this.workStartedMillis == NOT_SET) ? now : this.workStartedMillis) - this.startedMillis;
	}

	/**
	 * Returns how long the run has worked.
	 * @param now the steady clock
	 * @return milliseconds; for a run that was started in an earlier term at least the
	 * time that corresponds to its progress
	 */
	long workedMillis(long now) {
		if (this.workStartedMillis == NOT_SET) {
			return 0;
		}
		long reportedMillis = this.startObserved ? 0
				: this.task.step().expectedMillis() * this.progressPercent / MAX_PERCENT;
		return Math.max(now - this.workStartedMillis, reportedMillis);
	}

	/**
	 * Returns the amount of work that a checkpoint contains.
	 * @param checkpoint the last checkpoint, or empty
	 * @param now the steady clock
	 * @return milliseconds
	 */
	long checkpointedMillis(String checkpoint, long now) {
		if (!checkpoint.isEmpty() && !checkpoint.equals(this.lastCheckpoint)) {
			return workedMillis(now);
		}
		if (this.lastCheckpointMillis == NOT_SET || this.workStartedMillis == NOT_SET) {
			return 0;
		}
		return Math.max(0, workedMillis(now) - (now - this.lastCheckpointMillis));
	}

	/**
	 * Returns how long the run has reported no progress.
	 * @return milliseconds between the first and the last report of the current
	 * percentage
	 */
	long stalledMillis() {
		return this.lastReportMillis - this.lastProgressMillis;
	}

	/**
	 * Whether the run has completed its own work, even if it has not ended yet.
	 * @return whether its progress is complete
	 */
	boolean isProgressComplete() {
		return this.progressPercent >= MAX_PERCENT;
	}

	/**
	 * Estimates the remaining run time from the speed since the first report or, if there
	 * has been too little progress, from the expected run time. Workers report whole
	 * percents only, so a speed calculated from a few of them may be wrong by half.
	 * @param now the steady clock
	 * @return milliseconds
	 */
	long remainingMillis(long now) {
		int progress = this.progressPercent - this.firstProgressPercent;
		if (progress >= MIN_PROGRESS_PERCENT) {
			return (now - this.startedMillis) * (MAX_PERCENT - this.progressPercent) / progress;
		}
		return this.task.step().runMillisOrDefault() * (MAX_PERCENT - this.progressPercent) / MAX_PERCENT;
	}

	/**
	 * Whether the run is expected to end without a further decision.
	 * @return whether its task is not long-running, or it is being stopped
	 */
	boolean isExpectedToEnd() {
		return this.stopping || !this.task.step().spec().longRunning();
	}

	/**
	 * Extrapolates the run time on this worker from the progress so far, once for each
	 * run. All runs are sampled at the same age, so that the first samples of a step are
	 * not those of the fastest workers. Members of a gang progress only while the gang is
	 * complete, so their age counts from then on.
	 * @param now the steady clock
	 * @return milliseconds, or empty if the run is too young, makes too little progress,
	 * resumed from a checkpoint, or has been sampled before
	 */
	OptionalLong sampleRunTime(long now) {
		if (this.speedSampled || this.resumedFromCheckpoint || this.workStartedMillis == NOT_SET) {
			return OptionalLong.empty();
		}
		long ageMillis = now - Math.max(this.startedMillis, this.workStartedMillis);
		double sampleAgeMillis = this.task.step().expectedMillis() * SPEED_SAMPLE_SHARE;
		if (ageMillis < Math.max(MIN_SPEED_SAMPLE_MILLIS, sampleAgeMillis)) {
			return OptionalLong.empty();
		}
		this.speedSampled = true;
		int progress = this.progressPercent - this.firstProgressPercent;
		return (progress >= MIN_PROGRESS_PERCENT) ? OptionalLong.of(ageMillis * MAX_PERCENT / progress)
				: OptionalLong.empty();
	}

	/**
	 * Whether the time since the first report covers the whole task.
	 * @return whether the start was observed and the run did not resume from a checkpoint
	 */
	boolean isObservedFromStart() {
		return this.startObserved && !this.resumedFromCheckpoint;
	}

	boolean isResumedFromCheckpoint() {
		return this.resumedFromCheckpoint;
	}

	boolean running() {
		return this.state == State.RUNNING;
	}

	long startedMillis() {
		return this.startedMillis;
	}

	int progressPercent() {
		return this.progressPercent;
	}

	OpenRun toRecord() {
		return new OpenRun(this.number, this.worker.target(), this.startIncarnation, this.epoch);
	}

	/**
	 * The known state of a run.
	 */
	enum State {

		/** The start command is held back until the run is persisted. */
		PERSISTING,

		/**
		 * The start command has been sent, and the worker has not reported the run yet.
		 */
		START_SENT,

		/** The run belongs to an earlier term; whether it has started is not known. */
		INHERITED,

		/** The worker has reported the run as running. */
		RUNNING

	}

}
